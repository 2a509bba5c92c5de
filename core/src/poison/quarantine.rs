use {
    crate::{
        clock::Time,
        ids::{EngineId, Fingerprint, Incarnation},
    },
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Number of target crashes after which a fingerprint is quarantined.
pub const MAX_LOST_TARGETS: usize = 2;
/// Highest number of tracked fingerprints; beyond it the one with the oldest crash is removed, a
/// quarantined one only if there is no other.
pub const MAX_SUSPECTS: usize = 4_096;
/// Time after its last crash for which a fingerprint is restricted.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(3_600);

/// Time after a crash for which no suspects are sent to the target. It is longer than a suspect
/// that the crash left behind waits for its next run.
const CRASHED_TARGET_REST: Duration = Duration::from_secs(30);

/// Digest of the fingerprints in a quarantine, to find out whether two instances hold the same ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct QuarantineDigest(u64);

impl QuarantineDigest {
    /// Returns whether the quarantine is empty.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}

/// One crash of a target while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Target that crashed.
    pub engine: EngineId,
    /// Incarnation of the target that crashed.
    pub boot: Incarnation,
}

/// Whether and how requests with a fingerprint may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPermission {
    /// On a target together with other requests.
    Clear,
    /// Only as the single request on its target.
    Isolate,
    /// Not at all.
    Quarantined,
}

#[derive(Debug, Clone)]
struct Suspect {
    crashes: SmallVec<[Crash; MAX_LOST_TARGETS]>,
    /// When the restriction ends, [`SUSPECT_RETENTION`] after the last crash. The time of the crash
    /// itself may lie before the start of this process.
    ends: Time,
    /// Whether this instance found one of the crashes itself.
    found: bool,
}

impl Suspect {
    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= MAX_LOST_TARGETS
    }

    /// Returns the time since its last crash.
    fn age(&self, now: Time) -> Duration {
        SUSPECT_RETENTION.saturating_sub(self.ends - now)
    }
}

/// Fingerprints of requests that were running on targets when these crashed.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Quarantine {
    /// Returns how requests with `fingerprint` may run at `now`.
    pub fn permission(&self, fingerprint: Fingerprint, now: Time) -> RunPermission {
        match self.suspects.get(&fingerprint).filter(|s| s.ends > now) {
            None => RunPermission::Clear,
            Some(s) if s.is_quarantined() => RunPermission::Quarantined,
            Some(_) => RunPermission::Isolate,
        }
    }

    /// Records that a target crashed while it ran `fingerprint`; `true` if this changes the record.
    ///
    /// A crash counts once even if several instances report it, so their reports can be merged in
    /// any order.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, crash: Crash, now: Time) -> bool {
        self.record_past_crash(fingerprint, crash, Duration::ZERO, now)
    }

    /// Like [`record_crash`](Self::record_crash), for a crash that happened `age` ago. One that is
    /// older than the retention is ignored.
    pub fn record_past_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: Crash,
        age: Duration,
        now: Time,
    ) -> bool {
        let ends = now + SUSPECT_RETENTION.saturating_sub(age);
        if ends <= now {
            return false;
        }
        let fresh = || Suspect { crashes: SmallVec::new(), ends, found: false };
        let suspect = self.suspects.entry(fingerprint).or_insert_with(fresh);
        if suspect.ends <= now {
            *suspect = fresh();
        }
        if suspect.crashes.contains(&crash) || suspect.is_quarantined() {
            return false;
        }
        suspect.crashes.push(crash);
        suspect.ends = suspect.ends.max(ends);
        self.trim();
        true
    }

    /// Removes a fingerprint whose isolated run has completed: it ran on the target beside the
    /// request that caused the crash. A quarantined fingerprint stays.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        let is_isolated = |s: &Suspect| !s.is_quarantined();
        if self.suspects.get(&fingerprint).is_some_and(is_isolated) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Returns the quarantined fingerprints with their crashes and the time since the last one.
    pub fn entries(&self, now: Time) -> impl Iterator<Item = (Fingerprint, &[Crash], Duration)> {
        let held = move |s: &Suspect| s.is_quarantined() && s.ends > now;
        let entries = self.suspects.iter().filter(move |(_, s)| held(s));
        entries.map(move |(fingerprint, s)| (*fingerprint, s.crashes.as_slice(), s.age(now)))
    }

    /// Returns the digest of the quarantined fingerprints; their crashes do not count, as two
    /// instances may have recorded different ones.
    pub fn digest(&self, now: Time) -> QuarantineDigest {
        let fingerprints = self.entries(now).map(|(fingerprint, _, _)| fingerprint.0);
        QuarantineDigest(fingerprints.fold(0, |digest, fingerprint| digest ^ fingerprint))
    }

    /// Marks a fingerprint as one of whose crashes this instance has found itself.
    pub fn mark_found(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.found = true;
        }
    }

    /// Returns whether a fingerprint is quarantined and this instance found one of its crashes. A
    /// few instances at most do so; they store the quarantine for all.
    pub fn is_found(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|s| s.found && s.is_quarantined())
    }

    /// Returns the targets that suspects have crashed within the last 30 seconds.
    pub fn recently_crashed(&self, now: Time) -> BTreeSet<EngineId> {
        let recent = self.suspects.values().filter(|s| s.age(now) < CRASHED_TARGET_REST);
        recent.flat_map(|s| s.crashes.iter().map(|c| c.engine.clone())).collect()
    }

    /// Returns the number of quarantined fingerprints.
    pub fn quarantined(&self) -> usize {
        self.suspects.values().filter(|s| s.is_quarantined()).count()
    }

    /// Returns the number of tracked fingerprints, isolated and quarantined.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no fingerprint is tracked.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn trim(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let rank = |s: &Suspect| (s.is_quarantined(), s.ends);
        let oldest = self.suspects.iter().min_by_key(|(_, s)| rank(s)).map(|(p, _)| *p);
        if let Some(fingerprint) = oldest {
            self.suspects.remove(&fingerprint);
        }
    }
}
