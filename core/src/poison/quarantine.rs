use {
    crate::{
        clock::Time,
        ids::{EngineId, Fingerprint, Incarnation},
    },
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::{collections::BTreeMap, time::Duration},
};

/// Targets that may be lost to one fingerprint.
pub const MAX_LOST_TARGETS: usize = 2;
/// Fingerprints kept at most; the oldest go first.
pub const MAX_SUSPECTS: usize = 4_096;
/// Time after its last crash for which a fingerprint is kept.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(3_600);

/// One crash of a target while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The target.
    pub engine: EngineId,
    /// Its incarnation that crashed.
    pub boot: Incarnation,
}

/// How a fingerprint may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPermission {
    /// Beside others.
    Clear,
    /// Only alone on its target.
    Isolate,
    /// Not at all.
    Quarantined,
}

#[derive(Debug, Clone)]
struct Suspect {
    crashes: SmallVec<[Crash; MAX_LOST_TARGETS]>,
    seen: Time,
}

/// Fingerprints that ran on targets as they crashed.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Quarantine {
    /// How a request may run now.
    pub fn permission(&self, print: Fingerprint, now: Time) -> RunPermission {
        match self.suspects.get(&print).filter(|s| now - s.seen < SUSPECT_RETENTION) {
            None => RunPermission::Clear,
            Some(s) if s.crashes.len() < MAX_LOST_TARGETS => RunPermission::Isolate,
            Some(_) => RunPermission::Quarantined,
        }
    }

    /// Notes that a target crashed while it ran `print`; true if that is news.
    ///
    /// The same crash counts once, whoever reports it, so that reports from several instances
    /// may be joined in any order.
    pub fn record_crash(&mut self, print: Fingerprint, crash: Crash, now: Time) -> bool {
        let suspect = self
            .suspects
            .entry(print)
            .or_insert_with(|| Suspect { crashes: SmallVec::new(), seen: now });
        if suspect.crashes.contains(&crash) || suspect.crashes.len() >= MAX_LOST_TARGETS {
            return false;
        }
        suspect.crashes.push(crash);
        suspect.seen = now;
        self.trim();
        true
    }

    /// Clears a suspect that has run to its end: it was a neighbour of the culprit.
    pub fn clear(&mut self, print: Fingerprint) {
        let isolated = |s: &Suspect| s.crashes.len() < MAX_LOST_TARGETS;
        if self.suspects.get(&print).is_some_and(isolated) {
            self.suspects.remove(&print);
        }
    }

    /// Number of fingerprints that may not run at all.
    pub fn quarantined(&self) -> usize {
        self.suspects.values().filter(|s| s.crashes.len() >= MAX_LOST_TARGETS).count()
    }

    /// Number of fingerprints kept.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn trim(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let oldest = self.suspects.iter().min_by_key(|(_, s)| s.seen).map(|(p, _)| *p);
        if let Some(print) = oldest {
            self.suspects.remove(&print);
        }
    }
}
