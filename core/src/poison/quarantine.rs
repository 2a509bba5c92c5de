use {
    super::{ClearedSubjects, Subject},
    crate::{
        clock::Time,
        ids::{EngineId, Fingerprint, Incarnation, PrefixHash},
    },
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Highest number of tracked requests and parts; beyond it the one with the oldest crash is removed,
/// a quarantined one only if there is no other.
pub const MAX_SUSPECTS: usize = 4_096;
/// Time after its last crash for which a request or part is restricted.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(3_600);

/// Time after a crash for which no suspects are sent to the target. It is longer than a suspect
/// that the crash left behind waits for its next run.
const CRASHED_TARGET_REST: Duration = Duration::from_secs(30);

/// Waits after the last crash of a quarantined subject until one request with it is tried again, by the
/// number of tries; then there is none any more. One that was blamed by mistake is cleared by that.
const TRIAL_WAITS: [Duration; 3] =
    [Duration::from_secs(15), Duration::from_secs(60), Duration::from_secs(240)];
/// Time after which a trial without a result is repeated.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between crashes of targets under a part from which they count as two: targets that crash
/// together have another cause.
const MIN_CRASH_GAP: Duration = Duration::from_millis(200);
/// The same for crashes after the one that has quarantined a subject. Sooner ones are due to requests
/// that were sent before it, and to no trial.
const MIN_TRIAL_GAP: Duration = Duration::from_secs(10);

/// Digest of the quarantined requests and parts, to find out whether two instances hold the same ones.
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

/// Whether and how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPermission {
    /// On a target together with other requests.
    Clear,
    /// Only as the single request on its target.
    Isolate,
    /// Not at all.
    Quarantined,
}

/// A crash, and when it no longer counts. The time of the crash itself may lie before the start of
/// this process.
#[derive(Debug, Clone)]
struct CrashRecord {
    crash: Crash,
    ends: Time,
}

impl CrashRecord {
    fn age(&self, now: Time) -> Duration {
        SUSPECT_RETENTION.saturating_sub(self.ends - now)
    }
}

#[derive(Debug, Clone)]
struct Suspect {
    crashes: SmallVec<[CrashRecord; 2]>,
    /// When the restriction ends, [`SUSPECT_RETENTION`] after the last crash.
    ends: Time,
    /// Whether this instance found one of the crashes itself.
    found: bool,
    /// When this instance last tried a request with the subject, or had another one try it.
    tried: Option<Time>,
}

impl Suspect {
    fn is_quarantined(&self, subject: Subject) -> bool {
        self.crashes.len() >= subject.crash_limit()
    }

    /// Returns whether a crash that counts until `ends` adds to those recorded.
    fn is_new(&self, subject: Subject, crash: &Crash, ends: Time) -> bool {
        // One more crash for each trial.
        if self.crashes.len() >= subject.crash_limit() + TRIAL_WAITS.len() {
            return false;
        }
        let gap = match subject {
            _ if self.is_quarantined(subject) => MIN_TRIAL_GAP,
            // It is quarantined also if it crashes several targets at once.
            Subject::Request(_) => Duration::ZERO,
            Subject::Part(_) => MIN_CRASH_GAP,
        };
        let apart = |other: Time| (ends - other).max(other - ends) >= gap;
        self.crashes.iter().all(|c| c.crash != *crash && apart(c.ends))
    }

    /// Returns the time after its last crash from which it may be tried.
    fn trial_wait(&self, subject: Subject) -> Option<Duration> {
        let failed = self.crashes.len().checked_sub(subject.crash_limit())?;
        TRIAL_WAITS.get(failed).copied()
    }

    /// Returns whether the quarantined subject may be tried at `now`.
    fn trial_due(&self, subject: Subject, now: Time) -> bool {
        let rested = self.trial_wait(subject).is_some_and(|wait| self.age(now) >= wait);
        rested && self.tried.is_none_or(|tried| now - tried >= TRIAL_TIMEOUT)
    }

    /// Returns the time since its last crash.
    fn age(&self, now: Time) -> Duration {
        SUSPECT_RETENTION.saturating_sub(self.ends - now)
    }
}

/// Requests, and parts of their prompts, that were in work on targets when these crashed.
///
/// One is blamed for a crash unless a target has completed an answer on it lately, and cleared as soon
/// as one does: of those that run beside each other, only the one that crashes targets is left with
/// several crashes.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Subject, Suspect>,
    cleared: ClearedSubjects,
}

impl Quarantine {
    /// Returns how a request with this fingerprint may run at `now`, whatever its parts are.
    pub fn permission(&self, request: Fingerprint, now: Time) -> RunPermission {
        match self.restricted(request.into(), now) {
            None => RunPermission::Clear,
            Some(s) if s.is_quarantined(request.into()) => RunPermission::Quarantined,
            Some(_) => RunPermission::Isolate,
        }
    }

    /// Returns the quarantined ones among the subjects.
    pub fn quarantined_among(&self, subjects: &[Subject], now: Time) -> SmallVec<[Subject; 2]> {
        subjects.iter().copied().filter(|s| self.is_quarantined(*s, now)).collect()
    }

    /// Returns whether a trial is due at `now` for all of these quarantined subjects.
    pub fn is_trial_due(&self, subjects: &[Subject], now: Time) -> bool {
        let due = |s: &Subject| self.suspects.get(s).is_some_and(|found| found.trial_due(*s, now));
        subjects.iter().all(due)
    }

    /// Takes the next trial of quarantined subjects, if one is due at `now` for all of them. Of all
    /// instances, one takes the trials of a subject for all, so that there is one at a time.
    pub fn take_trial(&mut self, subjects: &[Subject], now: Time) -> bool {
        if !self.is_trial_due(subjects, now) {
            return false;
        }
        for subject in subjects {
            if let Some(suspect) = self.suspects.get_mut(subject) {
                suspect.tried = Some(now);
            }
        }
        true
    }

    /// Returns the time until the quarantined subjects may be tried, or until their quarantine ends.
    pub fn time_to_trial(&self, subjects: &[Subject], now: Time) -> Duration {
        let wait = |subject: &Subject| {
            let suspect = self.restricted(*subject, now)?;
            let trial = suspect.trial_wait(*subject);
            Some(trial.map_or(suspect.ends - now, |wait| wait.saturating_sub(suspect.age(now))))
        };
        subjects.iter().filter_map(wait).max().unwrap_or_default()
    }

    fn restricted(&self, subject: Subject, now: Time) -> Option<&Suspect> {
        self.suspects.get(&subject).filter(|s| s.ends > now)
    }

    /// Records that a target crashed while it ran `subject`; `true` if this changes the record.
    ///
    /// A crash counts once even if several instances report it, so their reports can be merged in
    /// any order.
    pub fn record_crash(&mut self, subject: impl Into<Subject>, crash: Crash, now: Time) -> bool {
        self.record_past_crash(subject, crash, Duration::ZERO, now)
    }

    /// Like [`record_crash`](Self::record_crash), for a crash that happened `age` ago. One that is
    /// older than the retention is ignored, and so is one of which the subject is cleared.
    pub fn record_past_crash(
        &mut self,
        subject: impl Into<Subject>,
        crash: Crash,
        age: Duration,
        now: Time,
    ) -> bool {
        let subject = subject.into();
        let ends = now + SUSPECT_RETENTION.saturating_sub(age);
        if ends <= now || self.is_cleared_of(subject, &crash, age, now) {
            return false;
        }
        let fresh = || Suspect { crashes: SmallVec::new(), ends, found: false, tried: None };
        let suspect = self.suspects.entry(subject).or_insert_with(fresh);
        if suspect.ends <= now {
            *suspect = fresh();
        }
        if !suspect.is_new(subject, &crash, ends) {
            return false;
        }
        suspect.crashes.push(CrashRecord { crash, ends });
        suspect.ends = suspect.ends.max(ends);
        self.trim();
        true
    }

    /// Returns whether a target has completed an answer on the subject lately.
    pub fn is_cleared(&mut self, subject: Subject, now: Time) -> bool {
        self.cleared.contains(subject, now)
    }

    /// Returns whether the subject is cleared of a crash that happened `age` ago.
    pub fn is_cleared_of(
        &mut self,
        subject: Subject,
        crash: &Crash,
        age: Duration,
        now: Time,
    ) -> bool {
        self.cleared.covers(subject, crash, now.earlier(age), now)
    }

    /// Records that a target has completed an answer on these subjects; returns those that were
    /// blamed for crashes until now.
    pub fn clear(&mut self, subjects: &[Subject], now: Time) -> SmallVec<[Subject; 2]> {
        let mut blamed = SmallVec::new();
        for subject in subjects {
            self.cleared.insert(*subject, now);
            if let Some(suspect) = self.suspects.remove(subject) {
                self.cleared.lift(*subject, suspect.crashes.into_iter().map(|c| c.crash), now);
                blamed.push(*subject);
            }
        }
        blamed
    }

    /// Returns the crashes of the quarantined requests and parts, with the time since each.
    pub fn crashes(&self, now: Time) -> impl Iterator<Item = (Subject, &Crash, Duration)> {
        self.entries(now).flat_map(move |(subject, suspect)| {
            suspect.crashes.iter().map(move |c| (subject, &c.crash, c.age(now)))
        })
    }

    fn entries(&self, now: Time) -> impl Iterator<Item = (Subject, &Suspect)> {
        let held = move |subject: Subject, s: &Suspect| s.is_quarantined(subject) && s.ends > now;
        let entries = self.suspects.iter().filter(move |(subject, s)| held(**subject, s));
        entries.map(|(subject, suspect)| (*subject, suspect))
    }

    /// Returns whether `known` has all crashes by which requests and parts are in quarantine.
    pub fn is_covered_by(&self, known: &Self, now: Time) -> bool {
        self.digest(now) == known.digest(now)
            && self.entries(now).all(|(subject, suspect)| {
                let known = known.suspects.get(&subject);
                known.is_some_and(|k| k.crashes.len() >= suspect.crashes.len())
            })
    }

    /// Returns the digest of the quarantined requests and parts; their crashes do not count, as two
    /// instances may have recorded different ones.
    pub fn digest(&self, now: Time) -> QuarantineDigest {
        let numbers = self.entries(now).map(|(subject, _)| subject.number());
        QuarantineDigest(numbers.fold(0, |digest, number| digest ^ number))
    }

    /// Marks a request or part as one of whose crashes this instance has found itself.
    pub fn mark_found(&mut self, subject: Subject) {
        if let Some(suspect) = self.suspects.get_mut(&subject) {
            suspect.found = true;
        }
    }

    /// Returns whether this instance found one of the crashes for which the subject is tracked.
    pub fn was_found(&self, subject: Subject) -> bool {
        self.suspects.get(&subject).is_some_and(|s| s.found)
    }

    /// Returns whether the subject is quarantined.
    pub fn is_quarantined(&self, subject: Subject, now: Time) -> bool {
        self.restricted(subject, now).is_some_and(|s| s.is_quarantined(subject))
    }

    /// Returns whether a request or part is quarantined and this instance found one of its crashes.
    /// A few instances at most do so; they store the quarantine for all.
    pub fn is_found(&self, subject: Subject) -> bool {
        self.suspects.get(&subject).is_some_and(|s| s.found && s.is_quarantined(subject))
    }

    /// Returns the targets that suspects have crashed within the last 30 seconds.
    pub fn recently_crashed(&self, now: Time) -> BTreeSet<EngineId> {
        let recent = self.suspects.values().filter(|s| s.age(now) < CRASHED_TARGET_REST);
        recent.flat_map(|s| s.crashes.iter().map(|c| c.crash.engine.clone())).collect()
    }

    /// Returns the number of quarantined requests and parts.
    pub fn quarantined(&self) -> usize {
        self.suspects.iter().filter(|(subject, s)| s.is_quarantined(**subject)).count()
    }

    /// Returns the number of quarantined parts.
    pub fn quarantined_part_count(&self) -> usize {
        let parts = self.suspects.range(Subject::Part(PrefixHash(0))..);
        parts.filter(|(subject, s)| s.is_quarantined(**subject)).count()
    }

    /// Returns the number of tracked requests and parts, suspected and quarantined.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether nothing is tracked.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn trim(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let rank = |subject: &Subject, s: &Suspect| (s.is_quarantined(*subject), s.ends);
        let oldest = self.suspects.iter().min_by_key(|(subject, s)| rank(subject, s));
        if let Some(subject) = oldest.map(|(subject, _)| *subject) {
            self.suspects.remove(&subject);
        }
    }
}
