use {
    crate::{clock::Time, ids::PrefixHash},
    std::{collections::HashSet, time::Duration},
};

/// Time for which a part stays cleared at least, unless too many others are.
const CLEAR_PERIOD: Duration = Duration::from_secs(30);
/// Highest number of parts cleared in one period.
const MAX_CLEARED: usize = 4_096;

/// Parts of prompts on which targets have completed answers lately, in two generations.
#[derive(Debug, Clone, Default)]
pub struct ClearedParts {
    recent: HashSet<PrefixHash>,
    older: HashSet<PrefixHash>,
    /// When `recent` began.
    since: Time,
}

impl ClearedParts {
    /// Records that a target has completed an answer on the part.
    pub fn insert(&mut self, part: PrefixHash, now: Time) {
        self.rotate(now);
        if self.recent.len() >= MAX_CLEARED {
            self.older = std::mem::take(&mut self.recent);
            self.since = now;
        }
        self.recent.insert(part);
    }

    /// Returns whether the part was cleared within the last 30 to 60 seconds.
    pub fn contains(&mut self, part: PrefixHash, now: Time) -> bool {
        self.rotate(now);
        self.recent.contains(&part) || self.older.contains(&part)
    }

    fn rotate(&mut self, now: Time) {
        let periods = (now - self.since).as_secs() / CLEAR_PERIOD.as_secs();
        if periods == 0 {
            return;
        }
        let recent = std::mem::take(&mut self.recent);
        self.older = if periods == 1 { recent } else { HashSet::new() };
        self.since = now;
    }
}
