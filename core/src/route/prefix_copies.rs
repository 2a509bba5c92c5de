use {
    super::RoutingRequest,
    crate::{
        clock::Time,
        fleet::{EngineView, PrefixLocations, PrefixProgress},
        ids::{EngineId, PrefixHash, Tokens},
    },
    smallvec::SmallVec,
};

/// Shared tokens below which another engine's memory is not asked for them: setting up the
/// transfer takes longer than reading them.
pub const MIN_FETCH_TOKENS: Tokens = Tokens(1_500);

/// The deepest part that a prompt has in common with others; its last block is its own.
pub fn shared_key(work: &RoutingRequest) -> Option<PrefixHash> {
    let shared = work.blocks.len().checked_sub(2)?;
    (!work.lengths.is_empty()).then(|| work.blocks[shared])
}

/// Tokens before the last block.
pub fn shared_tokens(work: &RoutingRequest) -> Tokens {
    let lengths = work.lengths.split_last().map_or(&[][..], |(_, shared)| shared);
    Tokens(lengths.iter().map(|t| u64::from(*t)).sum())
}

/// Which engines have a prompt's shared part in memory, by their index.
#[derive(Debug, Clone, Default)]
pub struct PrefixCopies {
    held: SmallVec<[usize; 4]>,
    reading: SmallVec<[usize; 4]>,
    tokens: Tokens,
}

impl PrefixCopies {
    /// Copies of the shared part of `work`, the latest first.
    pub fn of(
        engines: &[EngineView],
        placed: &PrefixLocations,
        work: &RoutingRequest,
        now: Time,
    ) -> Self {
        let Some(key) = shared_key(work) else { return Self::default() };
        let index = |id: &EngineId| engines.iter().position(|e| e.id == *id && !e.unavailable);
        let mut copies = Self { tokens: shared_tokens(work), ..Self::default() };
        for (id, progress) in placed.copies(key, now) {
            let list = match progress {
                PrefixProgress::Ready => &mut copies.held,
                PrefixProgress::Prefilling => &mut copies.reading,
            };
            list.extend(index(id));
        }
        copies
    }

    /// Shared tokens that an engine need not prefill, and the engine to fetch them from.
    pub fn at(&self, index: usize) -> (Tokens, Option<usize>) {
        // A request behind the one that reads the part finds it read.
        if self.held.contains(&index) || self.reading.contains(&index) {
            return (self.tokens, None);
        }
        match self.held.first() {
            Some(from) if self.tokens >= MIN_FETCH_TOKENS => (self.tokens, Some(*from)),
            _ => (Tokens(0), None),
        }
    }
}
