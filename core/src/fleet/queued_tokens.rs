use {
    crate::ids::{Rank, Tokens, RANK_COUNT},
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
};

/// Tokens of a prompt that is being read when a more urgent one arrives, and is not put aside for
/// it: half of a long one.
const MAX_PREFILL_IN_PROGRESS_TOKENS: u32 = 3_000;

/// Prompt tokens that wait at an engine or are being read there, by the rank of their requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Sparse", into = "Sparse")]
pub struct QueuedTokens([u32; RANK_COUNT]);

/// What is sent: few ranks are in use at a time.
type Sparse = SmallVec<[(u8, u32); 2]>;

impl QueuedTokens {
    /// Adds the prompt of a request.
    ///
    /// ```
    /// # use lentil_core::{fleet::QueuedTokens, ids::{Rank, Tokens}};
    /// let mut queued = QueuedTokens::default();
    /// queued.add(Rank::new(1), Tokens(500));
    /// queued.add(Rank::new(6), Tokens(200));
    /// assert_eq!(queued.total(), Tokens(700));
    /// assert_eq!(queued.ahead_of(Rank::new(6)), Tokens(700));
    /// // A prompt that is being read is not put aside.
    /// assert_eq!(queued.ahead_of(Rank::new(1)), Tokens(700));
    /// queued.add(Rank::new(6), Tokens(20_000));
    /// assert_eq!(queued.ahead_of(Rank::new(1)), Tokens(3_500));
    /// ```
    pub fn add(&mut self, rank: Rank, tokens: Tokens) {
        let at = &mut self.0[rank.index()];
        *at = at.saturating_add(tokens.0 as u32);
    }

    /// Takes the prompt of a request out.
    pub fn remove(&mut self, rank: Rank, tokens: Tokens) {
        let at = &mut self.0[rank.index()];
        *at = at.saturating_sub(tokens.0 as u32);
    }

    /// Tokens that are read before a new request of `rank`.
    pub fn ahead_of(&self, rank: Rank) -> Tokens {
        let (before, behind) = self.0.split_at(rank.index() + 1);
        Tokens(sum(before) + sum(behind).min(MAX_PREFILL_IN_PROGRESS_TOKENS.into()))
    }

    /// All tokens.
    pub fn total(&self) -> Tokens {
        Tokens(sum(&self.0))
    }

    /// The tokens of both.
    #[must_use]
    pub fn plus(mut self, other: &Self) -> Self {
        self.0.iter_mut().zip(other.0).for_each(|(a, b)| *a = a.saturating_add(b));
        self
    }
}

fn sum(tokens: &[u32]) -> u64 {
    tokens.iter().map(|t| u64::from(*t)).sum()
}

impl From<QueuedTokens> for Sparse {
    fn from(queued: QueuedTokens) -> Self {
        let ranks = (0_u8..).zip(queued.0);
        ranks.filter(|(_, tokens)| *tokens > 0).collect()
    }
}

impl From<Sparse> for QueuedTokens {
    fn from(sparse: Sparse) -> Self {
        let mut queued = Self::default();
        for (rank, tokens) in sparse {
            queued.add(Rank::new(rank), Tokens(tokens.into()));
        }
        queued
    }
}
