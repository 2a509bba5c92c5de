use {
    crate::{
        clock::Time,
        ids::{EngineId, PrefixHash},
    },
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::{collections::HashMap, time::Duration},
};

/// Time after its last use for which a prefix is expected to stay in an engine's memory. With a
/// longer time, most of the expected prefixes have already been evicted by newer ones.
const PREFIX_EXPIRY: Duration = Duration::from_secs(15);
/// Most prefixes that are tracked.
const MAX_PREFIXES: usize = 8_192;

/// Progress of an engine's prefill of a shared prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PrefixProgress {
    /// The prefix waits for prefill or is being prefilled.
    Prefilling,
    /// The prefix is in the engine's memory.
    Ready,
}

/// Note to the other instances that an engine has or prefills a shared prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixNote {
    /// Hash of the shared prefix.
    pub prefix: PrefixHash,
    /// Engine to which the prompt was sent.
    pub engine: EngineId,
    /// Progress of the prefill.
    pub progress: PrefixProgress,
}

#[derive(Debug, Clone)]
struct PrefixCopy {
    engine: EngineId,
    progress: PrefixProgress,
    used_at: Time,
}

/// Engines on which shared prompt prefixes were last used, by this instance or the others.
#[derive(Debug, Clone, Default)]
pub struct PrefixLocations {
    prefixes: HashMap<PrefixHash, SmallVec<[PrefixCopy; 4]>>,
}

impl PrefixLocations {
    /// Records that an engine has a prefix in memory or prefills it. A prefix that was ready and
    /// has not expired stays ready.
    ///
    /// ```
    /// # use lentil_core::fleet::{PrefixLocations, PrefixNote, PrefixProgress};
    /// # use lentil_core::{clock::Time, ids::PrefixHash};
    /// let mut locations = PrefixLocations::default();
    /// let prefix = PrefixHash(1);
    /// let engine = "e".parse().unwrap();
    /// let note = PrefixNote { prefix, engine, progress: PrefixProgress::Prefilling };
    /// locations.record(&note, Time::ZERO);
    /// assert_eq!(locations.copies(prefix, Time::ZERO).count(), 1);
    /// assert_eq!(locations.copies(prefix, Time::from_millis(60_000)).count(), 0);
    /// ```
    pub fn record(&mut self, note: &PrefixNote, now: Time) {
        if self.prefixes.len() >= MAX_PREFIXES && !self.prefixes.contains_key(&note.prefix) {
            self.make_room(now);
        }
        let copies = self.prefixes.entry(note.prefix).or_default();
        let mut progress = note.progress;
        copies.retain(|c| {
            let fresh = now - c.used_at < PREFIX_EXPIRY;
            if c.engine == note.engine && fresh && c.progress == PrefixProgress::Ready {
                progress = PrefixProgress::Ready;
            }
            fresh && c.engine != note.engine
        });
        copies.push(PrefixCopy { engine: note.engine.clone(), progress, used_at: now });
    }

    /// Returns the engines that are expected to hold or prefill a prefix, most recently used first.
    pub fn copies(
        &self,
        prefix: PrefixHash,
        now: Time,
    ) -> impl Iterator<Item = (&EngineId, PrefixProgress)> {
        let copies = self.prefixes.get(&prefix).into_iter().flat_map(|c| c.iter().rev());
        copies.filter(move |c| now - c.used_at < PREFIX_EXPIRY).map(|c| (&c.engine, c.progress))
    }

    /// Returns the number of prefixes that were used at an engine for which `counts` holds.
    pub fn count_at(&self, counts: impl Fn(&EngineId) -> bool, now: Time) -> usize {
        let used = |copies: &&SmallVec<[PrefixCopy; 4]>| {
            copies.iter().any(|c| now - c.used_at < PREFIX_EXPIRY && counts(&c.engine))
        };
        self.prefixes.values().filter(used).count()
    }

    /// Removes an engine that lost its memory from the locations of every prefix.
    pub fn remove_engine(&mut self, engine: &EngineId) {
        self.prefixes.values_mut().for_each(|copies| copies.retain(|c| c.engine != *engine));
    }

    /// Drops expired prefixes, or all of them if none has expired.
    fn make_room(&mut self, now: Time) {
        self.prefixes.retain(|_, copies| copies.iter().any(|c| now - c.used_at < PREFIX_EXPIRY));
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.clear();
        }
    }
}
