use {
    super::{HeldCopies, RoutingRequest},
    crate::{
        clock::Time,
        fleet::{EngineView, PrefixLocations, PrefixProgress},
        ids::{EngineId, PrefixHash, Tokens},
    },
    smallvec::SmallVec,
};

/// Length from which a shared prefix is fetched from another engine's KV cache: for a shorter one,
/// setting up the transfer takes longer than prefilling it.
pub const MIN_FETCH_TOKENS: Tokens = Tokens(1_500);

/// Returns the hash of the longest prefix that a prompt may share with others: all its blocks
/// except the last, which is unique to the prompt. `None` if there is no such prefix or the blocks
/// have no lengths of their own.
pub fn shared_prefix(request: &RoutingRequest) -> Option<PrefixHash> {
    let shared = request.blocks.len().checked_sub(2)?;
    (!request.lengths.is_empty()).then(|| request.blocks[shared])
}

/// Returns the length of the prefix that [`shared_prefix`] identifies.
pub fn shared_prefix_tokens(request: &RoutingRequest) -> Tokens {
    let lengths = request.lengths.split_last().map_or(&[][..], |(_, shared)| shared);
    Tokens(lengths.iter().map(|t| u64::from(*t)).sum())
}

/// Engines that have the shared prefix of a prompt in their KV cache, by index.
#[derive(Debug, Clone, Default)]
pub struct PrefixCopies {
    ready: SmallVec<[usize; 4]>,
    prefilling: SmallVec<[usize; 4]>,
    /// Engine that should have a copy, though none is known there.
    assumed: Option<usize>,
    tokens: Tokens,
    /// Engines that hold the prefix, if its reuse is weighed against the wait.
    held: Option<HeldCopies>,
}

impl PrefixCopies {
    /// Uses the engines that hold the prefix, whose reuse is weighed against the wait.
    pub fn weighed(held: HeldCopies) -> Self {
        Self { held: Some(held), ..Self::default() }
    }

    /// Finds the copies of the shared prefix of `request`, the latest first.
    pub fn find(
        engines: &[EngineView],
        locations: &PrefixLocations,
        request: &RoutingRequest,
        now: Time,
    ) -> Self {
        let Some(prefix) = shared_prefix(request) else { return Self::default() };
        let index =
            |id: &EngineId| engines.iter().position(|e| e.id == *id && e.serves_copies(now));
        let mut copies = Self { tokens: shared_prefix_tokens(request), ..Self::default() };
        for (id, progress) in locations.copies(prefix, now) {
            let list = match progress {
                PrefixProgress::Ready => &mut copies.ready,
                PrefixProgress::Prefilling => &mut copies.prefilling,
            };
            list.extend(index(id));
        }
        copies
    }

    /// Assumes a copy on the engine at `index`, if none is known there.
    #[must_use]
    pub fn with_assumed(mut self, index: Option<usize>) -> Self {
        self.assumed = index.filter(|i| !self.ready.contains(i) && !self.prefilling.contains(i));
        self
    }

    /// Returns the engines that hold the prefix, if its reuse is weighed against the wait.
    pub fn held(&self) -> Option<&HeldCopies> {
        self.held.as_ref()
    }

    /// Returns whether the copy on the engine at `index` is only assumed.
    pub fn is_assumed(&self, index: usize) -> bool {
        self.assumed == Some(index)
    }

    /// Returns the shared tokens that the engine at `index` need not prefill, and the index of the
    /// engine to fetch them from if it has no copy itself.
    pub fn reuse_at(&self, index: usize) -> (Tokens, Option<usize>) {
        // A request queued behind the one that prefills the prefix finds it in the KV cache.
        if self.ready.contains(&index) || self.prefilling.contains(&index) || self.is_assumed(index)
        {
            return (self.tokens, None);
        }
        match self.ready.first() {
            Some(from) if self.tokens >= MIN_FETCH_TOKENS => (self.tokens, Some(*from)),
            _ => (Tokens(0), None),
        }
    }
}
