use {
    super::{BlockHashes, PrefixLocations, PrefixNote, PrefixProgress},
    crate::{
        clock::Time,
        ids::{EngineId, PrefixHash},
    },
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::collections::HashMap,
};

/// Most blocks that one generation of [`CacheIndex`] holds.
pub const MAX_GENERATION_BLOCKS: usize = 200_000;

/// A change to an engine's prefix cache, published by the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a gap means that events were lost.
    pub number: u64,
    /// Hash of the block and of every block before it.
    pub block: PrefixHash,
    /// True if the block was stored, false if it was evicted.
    pub stored: bool,
}

/// A block on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CacheCopy {
    /// Index of the engine in [`CacheIndex::feeds`].
    feed_index: u16,
    /// Epoch of the engine's feed when the block was recorded.
    epoch: u16,
}

/// Position in one engine's sequence of cache events.
#[derive(Debug, Clone, Default)]
struct EventFeed {
    next: u64,
    /// Incremented at each gap; blocks of earlier epochs are unconfirmed.
    epoch: u16,
}

type Copies = SmallVec<[CacheCopy; 2]>;

/// Index of the prefix-cache blocks that each engine is expected to hold.
///
/// Built from the engines' cache events and from the prompts sent to them. Its size is bounded by
/// two generations: when the young one is full, it replaces the old one, whose blocks are dropped.
/// A gap in an engine's events leaves its earlier blocks unconfirmed until they are recorded again.
#[derive(Debug, Clone, Default)]
pub struct CacheIndex {
    /// Locations of shared prompt prefixes on registered engines.
    pub locations: PrefixLocations,
    /// Recorded locations that have yet to be sent to the other instances.
    pub pending_notes: Vec<PrefixNote>,
    feed_indices: HashMap<EngineId, u16>,
    feeds: Vec<EventFeed>,
    young: HashMap<PrefixHash, Copies>,
    old: HashMap<PrefixHash, Copies>,
}

impl CacheIndex {
    fn feed_index(&mut self, engine: &EngineId) -> u16 {
        if let Some(feed_index) = self.feed_indices.get(engine) {
            return *feed_index;
        }
        let feed_index = self.feeds.len() as u16;
        self.feeds.push(EventFeed::default());
        self.feed_indices.insert(engine.clone(), feed_index);
        feed_index
    }

    /// Applies one event of an engine; repeated events and those older than the latest are ignored.
    pub fn apply(&mut self, engine: &EngineId, event: &CacheEvent) {
        let feed_index = self.feed_index(engine);
        let feed = &mut self.feeds[feed_index as usize];
        if event.number < feed.next {
            return;
        }
        if event.number > feed.next {
            feed.epoch = feed.epoch.wrapping_add(1);
        }
        feed.next = event.number + 1;
        match event.stored {
            true => self.store(feed_index, event.block),
            false => self.remove(feed_index, event.block),
        }
    }

    /// Returns the sequence number expected of an engine's next event.
    pub fn next_event(&self, engine: &EngineId) -> u64 {
        self.feed_indices.get(engine).map_or(0, |feed_index| self.feeds[*feed_index as usize].next)
    }

    /// Records that a prompt with these blocks was sent to an engine, which will cache them.
    pub fn record_send(&mut self, engine: &EngineId, blocks: &BlockHashes) {
        let feed_index = self.feed_index(engine);
        for block in blocks {
            self.store(feed_index, *block);
        }
    }

    /// Removes the blocks of an engine that restarted, and resets its event numbers.
    pub fn remove_engine(&mut self, engine: &EngineId) {
        let Some(feed_index) = self.feed_indices.get(engine).copied() else {
            return;
        };
        self.feeds[feed_index as usize] = EventFeed::default();
        for copies in self.young.values_mut().chain(self.old.values_mut()) {
            copies.retain(|c| c.feed_index != feed_index);
        }
    }

    fn store(&mut self, feed_index: u16, block: PrefixHash) {
        let epoch = self.feeds[feed_index as usize].epoch;
        if self.young.len() >= MAX_GENERATION_BLOCKS && !self.young.contains_key(&block) {
            self.old = std::mem::take(&mut self.young);
        }
        let copies =
            self.young.entry(block).or_insert_with(|| self.old.remove(&block).unwrap_or_default());
        copies.retain(|c| c.feed_index != feed_index);
        copies.push(CacheCopy { feed_index, epoch });
    }

    fn remove(&mut self, feed_index: u16, block: PrefixHash) {
        for map in [&mut self.young, &mut self.old] {
            if let Some(copies) = map.get_mut(&block) {
                copies.retain(|c| c.feed_index != feed_index);
            }
        }
    }

    /// Returns how many of the leading blocks an engine is expected to hold; unconfirmed ones count
    /// half.
    pub fn hit_blocks(&self, engine: &EngineId, blocks: &BlockHashes) -> f64 {
        let Some(feed_index) = self.feed_indices.get(engine).copied() else {
            return 0.0;
        };
        let epoch = self.feeds[feed_index as usize].epoch;
        let mut hits = 0.0;
        for block in blocks {
            let copies = self.young.get(block).or_else(|| self.old.get(block));
            let Some(copy) = copies.and_then(|c| c.iter().find(|c| c.feed_index == feed_index))
            else {
                break;
            };
            hits += if copy.epoch == epoch { 1.0 } else { 0.5 };
        }
        hits
    }

    /// Records that an engine holds or prefills a shared prefix, and queues a note of it for the
    /// other instances.
    pub fn record_location(
        &mut self,
        prefix: PrefixHash,
        engine: &EngineId,
        progress: PrefixProgress,
        now: Time,
    ) {
        let note = PrefixNote { prefix, engine: engine.clone(), progress };
        self.locations.record(&note, now);
        self.pending_notes.push(note);
    }

    /// Returns the number of indexed blocks.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns true if no block is indexed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
