use {
    crate::{clock::Time, ids::EngineId},
    std::{collections::BTreeMap, time::Duration},
};

/// Time after an outage of the directory within which targets whose entries expired register again.
const REREGISTER_TIME: Duration = Duration::from_millis(2_000);
/// Part of the drain bound that is left to requests that are on their way when a target counts as
/// gone.
const SEND_RESERVE: Duration = Duration::from_millis(300);

/// Targets whose directory entries are gone, but may only have expired while the directory was down.
///
/// An instance that was cut off alone sees the same failed calls as in an outage of the directory,
/// yet entries that are gone afterwards belong to targets that have left. The two differ in what the
/// first complete read shows: an outage lets most entries expire.
#[derive(Debug, Clone)]
pub struct MissingTargets {
    /// Bound on the use of a target after its entry was removed.
    drain: Duration,
    /// When the directory last failed, or recovered from that.
    outage: Option<Time>,
    targets: BTreeMap<EngineId, Missing>,
}

#[derive(Debug, Clone, Copy)]
struct Missing {
    since: Time,
    until: Time,
}

impl MissingTargets {
    /// Creates an empty set; a target that has left must not be used for longer than `drain`.
    pub fn new(drain: Duration) -> Self {
        Self { drain, outage: None, targets: BTreeMap::new() }
    }

    /// Records that the directory failed at `now`, or recovered from that.
    pub fn record_outage(&mut self, now: Time) {
        self.outage = Some(now);
    }

    /// Returns the end of the time in which targets register again after an outage.
    fn grace_end(&self, now: Time) -> Option<Time> {
        self.outage.map(|t| t + REREGISTER_TIME).filter(|end| now < *end)
    }

    /// Records that a complete read lacks the targets `gone` of `known` ones; returns those that have
    /// left for certain.
    ///
    /// ```
    /// # use lentil_core::{clock::Time, fleet::MissingTargets};
    /// # use std::time::Duration;
    /// let mut missing = MissingTargets::new(Duration::from_secs(2));
    /// missing.record_outage(Time::ZERO);
    /// let one = vec!["a".parse().unwrap()];
    /// assert_eq!(missing.record_unlisted(one.clone(), 4, Time::ZERO), one, "a cut of this instance");
    /// assert!(missing.record_unlisted(one, 1, Time::ZERO).is_empty(), "an outage of the directory");
    /// ```
    pub fn record_unlisted(
        &mut self,
        gone: Vec<EngineId>,
        known: usize,
        now: Time,
    ) -> Vec<EngineId> {
        let expired = 2 * gone.len() >= known;
        // Targets that are missing already keep their time.
        let new = gone.into_iter().filter(|id| !self.targets.contains_key(id));
        let Some(until) = self.grace_end(now).filter(|_| expired) else { return new.collect() };
        let new: Vec<_> = new.map(|id| (id, Missing { since: now, until })).collect();
        self.targets.extend(new);
        Vec::new()
    }

    /// Records that an entry was removed that was still there at `listed`; returns whether its target
    /// has left for certain.
    pub fn record_removed(&mut self, id: &EngineId, listed: Time, now: Time) -> bool {
        let bound = listed + self.drain.saturating_sub(SEND_RESERVE);
        match self.grace_end(now).map(|end| end.min(bound)).filter(|until| now < *until) {
            Some(until) => {
                self.targets.entry(id.clone()).or_insert(Missing { since: now, until });
                false
            }
            None => {
                self.targets.remove(id);
                true
            }
        }
    }

    /// Records that a target has an entry.
    pub fn record_present(&mut self, id: &EngineId) {
        self.targets.remove(id);
    }

    /// Returns when the next missing target counts as gone.
    pub fn next_due(&self) -> Option<Time> {
        self.targets.values().map(|m| m.until).min()
    }

    /// Removes and returns the targets that count as gone at `now`, with the time since their entries
    /// were missed.
    pub fn take_due(&mut self, now: Time) -> Vec<(EngineId, Duration)> {
        let due = |m: &Missing| m.until <= now;
        let found: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, m)| due(m))
            .map(|(id, m)| (id.clone(), now - m.since))
            .collect();
        self.targets.retain(|_, m| !due(m));
        found
    }
}
