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
const FRESH: Duration = Duration::from_secs(15);
/// Parts that are kept at most.
const MAX_PARTS: usize = 8_192;

/// How far an engine is with a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// It waits to be read, or is being read.
    Reading,
    /// It is in memory.
    Ready,
}

/// A part on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartNote {
    /// The part.
    pub part: PrefixHash,
    /// The engine.
    pub engine: EngineId,
    /// How far it is.
    pub progress: Progress,
}

#[derive(Debug, Clone)]
struct Copy {
    engine: EngineId,
    progress: Progress,
    at: Time,
}

/// Where shared parts of prompts were last used, by this instance and as others told.
#[derive(Debug, Clone, Default)]
pub struct Placed {
    parts: HashMap<PrefixHash, SmallVec<[Copy; 4]>>,
}

impl Placed {
    /// Notes that an engine has a part in memory, or reads it. A part that was ready stays so.
    ///
    /// ```
    /// # use lentil_core::{clock::Time, fleet::{PartNote, Placed, Progress}, ids::PrefixHash};
    /// let mut placed = Placed::default();
    /// let part = PrefixHash(1);
    /// let engine = "e".parse().unwrap();
    /// placed.note(&PartNote { part, engine, progress: Progress::Reading }, Time::ZERO);
    /// assert_eq!(placed.copies(part, Time::ZERO).count(), 1);
    /// assert_eq!(placed.copies(part, Time::from_millis(60_000)).count(), 0);
    /// ```
    pub fn note(&mut self, note: &PartNote, now: Time) {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&note.part) {
            self.sweep(now);
        }
        let copies = self.parts.entry(note.part).or_default();
        let mut progress = note.progress;
        copies.retain(|c| {
            let fresh = now - c.at < FRESH;
            if c.engine == note.engine && fresh && c.progress == Progress::Ready {
                progress = Progress::Ready;
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
    ) -> impl Iterator<Item = (&EngineId, Progress)> {
        let copies = self.parts.get(&part).into_iter().flat_map(|c| c.iter().rev());
        copies.filter(move |c| now - c.at < FRESH).map(|c| (&c.engine, c.progress))
    }

    /// Forgets an engine that has lost its memory.
    pub fn forget(&mut self, engine: &EngineId) {
        self.parts.values_mut().for_each(|copies| copies.retain(|c| c.engine != *engine));
    }

    fn sweep(&mut self, now: Time) {
        self.parts.retain(|_, copies| copies.iter().any(|c| now - c.at < FRESH));
        if self.parts.len() >= MAX_PARTS {
            self.parts.clear();
        }
    }
}
