use {
    super::{ReachCheck, Relays},
    crate::{clock::Time, ids::EngineId},
    smallvec::SmallVec,
    std::time::Duration,
};

/// Time without a sign of any target, while requests wait, from which some are asked for a report.
const MAX_SILENCE: Duration = Duration::from_secs(1);
/// Number of targets that fail in a row, with no sign of any in between, from which all are asked.
const SUSPICIOUS_FAILURES: usize = 2;
/// Time without a sign of any target from which a single failure is enough.
const SUSPICIOUS_SILENCE: Duration = Duration::from_millis(250);
/// Shortest time between two checks. While all targets are down, each check asks them in vain.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks whether a service is reached again.
const RETURN_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which a sign of a target shows that the service is reached.
const EVIDENCE_VALIDITY: Duration = Duration::from_secs(1);
/// Shortest time between two checks that other instances ask for.
const ASKED_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Silence from which requests in progress count as lost when the instance is found to be cut off.
const LOST_SILENCE: Duration = Duration::from_millis(500);

/// Whether this instance reaches the targets of one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceReach {
    /// Requests in progress at targets.
    waiting: u32,
    /// When a target last sent something, or the first of the waiting requests was sent.
    quiet_since: Time,
    /// When a target last sent something.
    heard: Option<Time>,
    /// Targets that failed since then.
    failed: SmallVec<[EngineId; 2]>,
    /// When the latest check began.
    checked: Option<Time>,
    /// When the latest check began for which another instance asked.
    asked: Option<Time>,
    /// Whether no target answered in the latest check.
    unanswered: bool,
    /// When a check last found that no asked instance reaches a target.
    down: Option<Time>,
    cut: Option<Cut>,
    /// Other instances that reach the service.
    pub relays: Relays,
}

#[derive(Debug, Clone, Copy)]
struct Cut {
    since: Time,
    /// Whether the targets had fallen silent before, so that requests in progress are lost.
    silent: bool,
}

/// What a check has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// The instance is cut off from the service.
    CutOff,
    /// It reaches the service again, after this time.
    Back(Duration),
    /// It is not the only one any more: no other instance reaches the service either.
    Outage,
}

/// A check that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DueCheck {
    /// Some targets are asked, since none has sent anything for a while.
    Silence,
    /// The instance is cut off, and looks whether it reaches targets again.
    Return,
}

impl ServiceReach {
    /// Records that a request is sent to a target.
    pub fn record_send(&mut self, now: Time) {
        if self.waiting == 0 {
            self.quiet_since = now;
        }
        self.waiting += 1;
    }

    /// Records that a request has ended, whether it was answered or not.
    pub fn record_end(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Records that a target sent something.
    pub fn record_sign(&mut self, now: Time) {
        self.quiet_since = now;
        self.heard = Some(now);
        self.unanswered = false;
        self.failed.clear();
    }

    /// Records that a target did not answer. Returns whether all are to be asked for a report at once,
    /// `targets` being their number.
    pub fn record_failure(&mut self, target: &EngineId, targets: usize, now: Time) -> bool {
        if !self.failed.contains(target) {
            self.failed.push(target.clone());
        }
        let several = self.failed.len() >= SUSPICIOUS_FAILURES.min(targets.max(1));
        let silent = self.waiting > 0 && now - self.quiet_since >= SUSPICIOUS_SILENCE;
        (several || silent) && self.cut.is_none() && self.check_allowed(now)
    }

    fn check_allowed(&self, now: Time) -> bool {
        self.checked.is_none_or(|at| now - at >= CHECK_INTERVAL)
    }

    /// Returns the check that is due, which counts as begun then.
    pub fn take_due_check(&mut self, now: Time) -> Option<DueCheck> {
        let due = match self.cut {
            Some(_) => {
                let early = self.checked.is_some_and(|at| now - at < RETURN_INTERVAL);
                (!early).then_some(DueCheck::Return)
            }
            None => {
                let silent = self.waiting > 0 && now - self.quiet_since >= MAX_SILENCE;
                // Another instance may reach the service by now.
                let silent = silent || self.unanswered && !self.failed.is_empty();
                (silent && self.check_allowed(now)).then_some(DueCheck::Silence)
            }
        };
        if due.is_some() {
            self.checked = Some(now);
        }
        due
    }

    /// Returns whether some targets are to be asked now, since another instance asks whether this one
    /// reaches them; counts as begun then.
    pub fn take_asked_check(&mut self, now: Time) -> bool {
        let early = self.asked.is_some_and(|at| now - at < ASKED_CHECK_INTERVAL);
        let due = self.cut.is_none() && !self.is_evident(now) && !early;
        if due {
            self.asked = Some(now);
        }
        due
    }

    /// Records that a check of all targets begins.
    pub fn begin_check(&mut self, now: Time) {
        self.checked = Some(now);
    }

    /// Records the result of a check; returns what it changes.
    pub fn record_check(&mut self, check: &ReachCheck, now: Time) -> Option<ReachChange> {
        self.unanswered = check.asked > 0 && check.answered == 0;
        if check.is_outage() && !check.alone {
            self.down = Some(now);
        }
        match self.cut {
            None if check.is_cut_off() => {
                let silent = now - self.quiet_since >= LOST_SILENCE;
                self.cut = Some(Cut { since: now, silent });
                Some(ReachChange::CutOff)
            }
            Some(cut) if check.is_back() => {
                self.cut = None;
                self.quiet_since = now;
                self.failed.clear();
                Some(ReachChange::Back(now - cut.since))
            }
            Some(_) if check.is_outage() => {
                self.cut = None;
                Some(ReachChange::Outage)
            }
            _ => None,
        }
    }

    /// Returns whether the instance is cut off from the service.
    pub fn is_cut_off(&self) -> bool {
        self.cut.is_some()
    }

    /// Returns whether the instance is cut off, and requests in progress at targets are lost.
    pub fn has_lost_requests(&self) -> bool {
        self.cut.is_some_and(|cut| cut.silent)
    }

    /// Returns whether a target has sent something lately, and the instance is not cut off.
    pub fn is_evident(&self, now: Time) -> bool {
        self.cut.is_none() && self.heard.is_some_and(|at| now - at < EVIDENCE_VALIDITY)
    }

    /// Returns whether a check since `since` has found that no asked instance reaches a target.
    pub fn is_down_since(&self, since: Time) -> bool {
        self.down.is_some_and(|at| at >= since)
    }

    /// Returns when a target last sent something.
    pub fn last_sign(&self) -> Option<Time> {
        self.heard
    }
}
