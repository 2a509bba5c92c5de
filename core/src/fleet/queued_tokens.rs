use {
    crate::ids::{Rank, Tokens, RANK_COUNT},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
};

/// Most tokens of less urgent prompts that a new request has to wait for. A prefill in progress is
/// not preempted; this is half of a long prompt.
const MAX_PREFILL_IN_PROGRESS_TOKENS: u32 = 3_000;

/// Prompt tokens that an engine has queued or is prefilling, by the rank of their requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "SparseTokens", into = "SparseTokens")]
pub struct QueuedTokens([u32; RANK_COUNT]);

/// Encoded form: pairs of rank and tokens for the ranks in use, which are few at a time.
type SparseTokens = SmallVec<[(u8, u32); 2]>;

impl QueuedTokens {
    /// Adds the prompt tokens of a request.
    ///
    /// ```
    /// # use lentil_core::{fleet::QueuedTokens, ids::{Rank, Tokens}};
    /// let mut queued = QueuedTokens::default();
    /// queued.add(Rank::new(1), Tokens(500));
    /// queued.add(Rank::new(6), Tokens(200));
    /// assert_eq!(queued.total(), Tokens(700));
    /// assert_eq!(queued.ahead_of(Rank::new(6)), Tokens(700));
    /// // A prefill in progress is not preempted.
    /// assert_eq!(queued.ahead_of(Rank::new(1)), Tokens(700));
    /// queued.add(Rank::new(6), Tokens(20_000));
    /// assert_eq!(queued.ahead_of(Rank::new(1)), Tokens(3_500));
    /// ```
    pub fn add(&mut self, rank: Rank, tokens: Tokens) {
        let at = &mut self.0[rank.index()];
        *at = at.saturating_add(tokens.0 as u32);
    }

    /// Removes the prompt tokens of a request.
    pub fn remove(&mut self, rank: Rank, tokens: Tokens) {
        let at = &mut self.0[rank.index()];
        *at = at.saturating_sub(tokens.0 as u32);
    }

    /// Returns the tokens that are prefilled before a new request of `rank`.
    pub fn ahead_of(&self, rank: Rank) -> Tokens {
        let (before, behind) = self.0.split_at(rank.index() + 1);
        Tokens(sum(before) + sum(behind).min(MAX_PREFILL_IN_PROGRESS_TOKENS.into()))
    }

    /// Returns the tokens of all ranks.
    pub fn total(&self) -> Tokens {
        Tokens(sum(&self.0))
    }

    /// Returns the sum of both, rank by rank.
    #[must_use]
    pub fn plus(mut self, other: &Self) -> Self {
        self.0.iter_mut().zip(other.0).for_each(|(a, b)| *a = a.saturating_add(b));
        self
    }
}

fn sum(tokens: &[u32]) -> u64 {
    tokens.iter().map(|t| u64::from(*t)).sum()
}

impl From<QueuedTokens> for SparseTokens {
    fn from(queued: QueuedTokens) -> Self {
        let ranks = (0_u8..).zip(queued.0);
        ranks.filter(|(_, tokens)| *tokens > 0).collect()
    }
}

impl From<SparseTokens> for QueuedTokens {
    fn from(sparse: SparseTokens) -> Self {
        let mut queued = Self::default();
        for (rank, tokens) in sparse {
            queued.add(Rank::new(rank), Tokens(tokens.into()));
        }
        queued
    }
}
