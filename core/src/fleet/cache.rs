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

/// Blocks that one generation of the index holds at most.
pub const MAX_GENERATION_BLOCKS: usize = 200_000;

/// A change to an engine's prefix cache, as it publishes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a jump shows that some were lost.
    pub number: u64,
    /// The block.
    pub block: PrefixHash,
    /// Whether the block was stored or dropped.
    pub stored: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CacheCopy {
    slot: u16,
    epoch: u16,
}

#[derive(Debug, Clone, Default)]
struct Feed {
    next: u64,
    epoch: u16,
}

type Copies = SmallVec<[CacheCopy; 2]>;

/// Which engines hold which blocks, as far as their events tell.
///
/// Bounded by two generations: when the young one is full, the old one is dropped. A gap in an
/// engine's events puts everything known of it in doubt until it is confirmed.
#[derive(Debug, Clone, Default)]
pub struct CacheIndex {
    /// Shared parts of prompts on registered engines.
    pub locations: PrefixLocations,
    /// Parts that were placed and are to be told to other instances.
    pub pending_notes: Vec<PrefixNote>,
    slots: HashMap<EngineId, u16>,
    feeds: Vec<Feed>,
    young: HashMap<PrefixHash, Copies>,
    old: HashMap<PrefixHash, Copies>,
}

impl CacheIndex {
    fn slot(&mut self, engine: &EngineId) -> u16 {
        if let Some(slot) = self.slots.get(engine) {
            return *slot;
        }
        let slot = self.feeds.len() as u16;
        self.feeds.push(Feed::default());
        self.slots.insert(engine.clone(), slot);
        slot
    }

    /// Takes in one event of an engine; repeated and late ones are ignored.
    pub fn apply(&mut self, engine: &EngineId, event: &CacheEvent) {
        let slot = self.slot(engine);
        let feed = &mut self.feeds[slot as usize];
        if event.number < feed.next {
            return;
        }
        if event.number > feed.next {
            feed.epoch = feed.epoch.wrapping_add(1);
        }
        feed.next = event.number + 1;
        match event.stored {
            true => self.store(slot, event.block),
            false => self.drop_block(slot, event.block),
        }
    }

    /// The number that the next event of an engine should have.
    pub fn next_event(&self, engine: &EngineId) -> u64 {
        self.slots.get(engine).map_or(0, |slot| self.feeds[*slot as usize].next)
    }

    /// Notes that a prompt was sent to an engine, which will hold its blocks.
    pub fn sent(&mut self, engine: &EngineId, blocks: &BlockHashes) {
        let slot = self.slot(engine);
        for block in blocks {
            self.store(slot, *block);
        }
    }

    /// Forgets an engine that has restarted.
    pub fn forget(&mut self, engine: &EngineId) {
        let Some(slot) = self.slots.get(engine).copied() else {
            return;
        };
        self.feeds[slot as usize] = Feed::default();
        for copies in self.young.values_mut().chain(self.old.values_mut()) {
            copies.retain(|c| c.slot != slot);
        }
    }

    fn store(&mut self, slot: u16, block: PrefixHash) {
        let epoch = self.feeds[slot as usize].epoch;
        if self.young.len() >= MAX_GENERATION_BLOCKS && !self.young.contains_key(&block) {
            self.old = std::mem::take(&mut self.young);
        }
        let copies =
            self.young.entry(block).or_insert_with(|| self.old.remove(&block).unwrap_or_default());
        copies.retain(|c| c.slot != slot);
        copies.push(CacheCopy { slot, epoch });
    }

    fn drop_block(&mut self, slot: u16, block: PrefixHash) {
        for map in [&mut self.young, &mut self.old] {
            if let Some(copies) = map.get_mut(&block) {
                copies.retain(|c| c.slot != slot);
            }
        }
    }

    /// Number of leading blocks that an engine is expected to hold; what is in doubt counts half.
    pub fn hit_blocks(&self, engine: &EngineId, blocks: &BlockHashes) -> f64 {
        let Some(slot) = self.slots.get(engine).copied() else {
            return 0.0;
        };
        let epoch = self.feeds[slot as usize].epoch;
        let mut held = 0.0;
        for block in blocks {
            let copies = self.young.get(block).or_else(|| self.old.get(block));
            let Some(copy) = copies.and_then(|c| c.iter().find(|c| c.slot == slot)) else {
                break;
            };
            held += if copy.epoch == epoch { 1.0 } else { 0.5 };
        }
        held
    }

    /// Notes where a shared part is, also for the other instances.
    pub fn record_location(
        &mut self,
        part: PrefixHash,
        engine: &EngineId,
        progress: PrefixProgress,
        now: Time,
    ) {
        let note = PrefixNote { prefix: part, engine: engine.clone(), progress };
        self.locations.record(&note, now);
        self.pending_notes.push(note);
    }

    /// Number of blocks indexed.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether no block is indexed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
