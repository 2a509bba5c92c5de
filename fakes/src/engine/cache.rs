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

/// Prefix cache of limited size that publishes its changes late and with gaps.
#[derive(Debug, Default)]
pub(super) struct Cache {
    held: HashSet<PrefixHash>,
    order: VecDeque<PrefixHash>,
    events: Vec<(Instant, CacheEvent)>,
}

impl Cache {
    /// Number of leading blocks that are held.
    pub(super) fn hit(&self, blocks: &BlockHashes) -> usize {
        blocks.iter().take_while(|b| self.held.contains(b)).count()
    }

    /// Holds the blocks of a prompt and drops the oldest beyond `limit`.
    pub(super) fn store(&mut self, blocks: &BlockHashes, limit: usize) {
        for block in blocks {
            if self.held.insert(*block) {
                self.order.push_back(*block);
                self.publish(*block, true);
            }
        }
        while self.order.len() > limit {
            if let Some(oldest) = self.order.pop_front() {
                self.held.remove(&oldest);
                self.publish(oldest, false);
            }
        }
    }

    fn publish(&mut self, block: PrefixHash, stored: bool) {
        let number = self.events.len() as u64;
        self.events.push((Instant::now(), CacheEvent { number, block, stored }));
    }

    /// Events from `from` on that show after `lag`, without every `gap`-th.
    pub(super) fn events(&self, from: u64, lag: Duration, gap: u64) -> Vec<CacheEvent> {
        let shown = self.events.iter().skip(from as usize);
        shown
            .take_while(|(at, _)| at.elapsed() >= lag)
            .map(|(_, event)| event.clone())
            .filter(|e| gap == 0 || !(e.number + 1).is_multiple_of(gap))
            .collect()
    }
}
