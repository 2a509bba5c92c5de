use {
    lentil_core::{
        fleet::{BlockHashes, CacheEvent},
        ids::PrefixHash,
    },
    std::{
        collections::{HashSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// Prefix cache of limited size, which evicts the oldest blocks first and records its changes as
/// events.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    cached: HashSet<PrefixHash>,
    eviction_order: VecDeque<PrefixHash>,
    events: Vec<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// Number of leading blocks that are cached.
    pub(super) fn hit_blocks(&self, blocks: &BlockHashes) -> usize {
        blocks.iter().take_while(|b| self.cached.contains(b)).count()
    }

    /// Caches the blocks of a prompt, and evicts the oldest blocks beyond `limit`.
    pub(super) fn insert(&mut self, blocks: &BlockHashes, limit: usize) {
        for block in blocks {
            if self.cached.insert(*block) {
                self.eviction_order.push_back(*block);
                self.record_event(*block, true);
            }
        }
        while self.eviction_order.len() > limit {
            if let Some(oldest) = self.eviction_order.pop_front() {
                self.cached.remove(&oldest);
                self.record_event(oldest, false);
            }
        }
    }

    fn record_event(&mut self, block: PrefixHash, stored: bool) {
        let number = self.events.len() as u64;
        self.events.push((Instant::now(), CacheEvent { number, block, stored }));
    }

    /// Events from number `from` on that are older than `lag`, leaving out every `gap`-th one.
    pub(super) fn events(&self, from: u64, lag: Duration, gap: u64) -> Vec<CacheEvent> {
        let visible = self.events.iter().skip(from as usize);
        visible
            .take_while(|(at, _)| at.elapsed() >= lag)
            .map(|(_, event)| event.clone())
            .filter(|e| gap == 0 || !(e.number + 1).is_multiple_of(gap))
            .collect()
    }
}
