use {
    crate::{
        clock::Time,
        ids::{EngineId, PrefixHash},
    },
    smallvec::SmallVec,
    std::{collections::HashMap, time::Duration},
};

/// Time after its last use within which a part is expected to be in memory still: with longer
/// times most of what is expected has yielded to newer parts.
const FRESH: Duration = Duration::from_secs(15);
/// Parts that are kept at most.
const MAX_PARTS: usize = 8_192;

type Copies = SmallVec<[(EngineId, Time); 4]>;

/// Where shared parts of prompts were last used, by this instance and as others told.
#[derive(Debug, Clone, Default)]
pub struct Placed {
    parts: HashMap<PrefixHash, Copies>,
}

impl Placed {
    /// Notes that an engine has or will soon have a part in memory.
    ///
    /// ```
    /// # use lentil_core::{clock::Time, fleet::Placed, ids::PrefixHash};
    /// let mut placed = Placed::default();
    /// placed.used(PrefixHash(1), &"e".parse().unwrap(), Time::ZERO);
    /// assert_eq!(placed.holders(PrefixHash(1), Time::ZERO).count(), 1);
    /// assert_eq!(placed.holders(PrefixHash(1), Time::from_millis(60_000)).count(), 0);
    /// ```
    pub fn used(&mut self, part: PrefixHash, engine: &EngineId, now: Time) {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            self.sweep(now);
        }
        let copies = self.parts.entry(part).or_default();
        copies.retain(|(id, at)| id != engine && now - *at < FRESH);
        copies.push((engine.clone(), now));
    }

    /// Engines that are expected to have a part, the latest first.
    pub fn holders(&self, part: PrefixHash, now: Time) -> impl Iterator<Item = &EngineId> {
        let copies = self.parts.get(&part).into_iter().flat_map(|c| c.iter().rev());
        copies.filter(move |(_, at)| now - *at < FRESH).map(|(id, _)| id)
    }

    /// Forgets an engine that has lost its memory.
    pub fn forget(&mut self, engine: &EngineId) {
        self.parts.values_mut().for_each(|copies| copies.retain(|(id, _)| id != engine));
    }

    fn sweep(&mut self, now: Time) {
        self.parts.retain(|_, copies| copies.iter().any(|(_, at)| now - *at < FRESH));
        if self.parts.len() >= MAX_PARTS {
            self.parts.clear();
        }
    }
}
