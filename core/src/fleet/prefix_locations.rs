use {
    crate::{
        clock::Time,
        ids::{EngineId, PrefixHash},
    },
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::{collections::HashMap, time::Duration},
};

/// Time after its last use within which a part is expected to be in memory still: with longer
/// times most of what is expected has yielded to newer parts.
const PREFIX_EXPIRY: Duration = Duration::from_secs(15);
/// Parts that are kept at most.
const MAX_PREFIXES: usize = 8_192;

/// How far an engine is with a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PrefixProgress {
    /// It waits to be read, or is being read.
    Prefilling,
    /// It is in memory.
    Ready,
}

/// A part on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixNote {
    /// The part.
    pub prefix: PrefixHash,
    /// The engine.
    pub engine: EngineId,
    /// How far it is.
    pub progress: PrefixProgress,
}

#[derive(Debug, Clone)]
struct Copy {
    engine: EngineId,
    progress: PrefixProgress,
    at: Time,
}

/// Where shared parts of prompts were last used, by this instance and as others told.
#[derive(Debug, Clone, Default)]
pub struct PrefixLocations {
    prefixes: HashMap<PrefixHash, SmallVec<[Copy; 4]>>,
}

impl PrefixLocations {
    /// Notes that an engine has a part in memory, or reads it. A part that was ready stays so.
    ///
    /// ```
    /// # use lentil_core::fleet::{PrefixLocations, PrefixNote, PrefixProgress};
    /// # use lentil_core::{clock::Time, ids::PrefixHash};
    /// let mut placed = PrefixLocations::default();
    /// let prefix = PrefixHash(1);
    /// let engine = "e".parse().unwrap();
    /// let note = PrefixNote { prefix, engine, progress: PrefixProgress::Prefilling };
    /// placed.record(&note, Time::ZERO);
    /// assert_eq!(placed.copies(prefix, Time::ZERO).count(), 1);
    /// assert_eq!(placed.copies(prefix, Time::from_millis(60_000)).count(), 0);
    /// ```
    pub fn record(&mut self, note: &PrefixNote, now: Time) {
        if self.prefixes.len() >= MAX_PREFIXES && !self.prefixes.contains_key(&note.prefix) {
            self.sweep(now);
        }
        let copies = self.prefixes.entry(note.prefix).or_default();
        let mut progress = note.progress;
        copies.retain(|c| {
            let fresh = now - c.at < PREFIX_EXPIRY;
            if c.engine == note.engine && fresh && c.progress == PrefixProgress::Ready {
                progress = PrefixProgress::Ready;
            }
            fresh && c.engine != note.engine
        });
        copies.push(Copy { engine: note.engine.clone(), progress, at: now });
    }

    /// Engines that are expected to have a part or are reading it, the latest first.
    pub fn copies(
        &self,
        part: PrefixHash,
        now: Time,
    ) -> impl Iterator<Item = (&EngineId, PrefixProgress)> {
        let copies = self.prefixes.get(&part).into_iter().flat_map(|c| c.iter().rev());
        copies.filter(move |c| now - c.at < PREFIX_EXPIRY).map(|c| (&c.engine, c.progress))
    }

    /// Forgets an engine that has lost its memory.
    pub fn forget(&mut self, engine: &EngineId) {
        self.prefixes.values_mut().for_each(|copies| copies.retain(|c| c.engine != *engine));
    }

    fn sweep(&mut self, now: Time) {
        self.prefixes.retain(|_, copies| copies.iter().any(|c| now - c.at < PREFIX_EXPIRY));
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.clear();
        }
    }
}
