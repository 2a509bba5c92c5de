use {
    super::ScalingOutcome,
    crate::{clock::Time, limit::Backoff},
    std::time::Duration,
};

/// Time after the boot time within which a new target appears in the directory.
const REGISTRATION_DELAY: Duration = Duration::from_secs(3);
/// Time within which a call without a response may still be carried out.
const LATE_CALL: Duration = Duration::from_secs(8);
/// Time for which a group is left alone after the platform had no more of its targets, or reclaimed
/// them.
const BLOCK: Duration = Duration::from_secs(15);
/// First and longest pause before an order that the platform did not carry out is sent again.
const RESEND_PAUSE: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(8)];
/// First and longest pause between two orders that the directory does not reflect.
const REPEAT_PAUSE: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(60)];

/// What is known of the targets of one kind in one zone, and of the orders for them.
#[derive(Debug, Clone)]
pub(super) struct Group {
    /// Targets in the directory that are not leaving.
    pub registered: u32,
    /// Most of them since the last loss.
    high: u32,
    /// Since when their number differs from the ordered one.
    differs_since: Option<Time>,
    ordered_at: Option<Time>,
    /// Until when nothing is ordered.
    blocked_until: Time,
    /// Earliest time of the next order with the same number.
    retry_at: Time,
    resends: Backoff,
    repeats: Backoff,
    /// Whether the latest order has to be sent again.
    refused: bool,
    /// Until when a call without a response may be carried out.
    uncertain_until: Option<Time>,
    /// Whether another number was ordered meanwhile.
    superseded: bool,
}

impl Group {
    pub fn new() -> Self {
        Self {
            registered: 0,
            high: 0,
            differs_since: None,
            ordered_at: None,
            blocked_until: Time::ZERO,
            retry_at: Time::ZERO,
            resends: Backoff::new(RESEND_PAUSE[0], RESEND_PAUSE[1]),
            repeats: Backoff::new(REPEAT_PAUSE[0], REPEAT_PAUSE[1]),
            refused: false,
            uncertain_until: None,
            superseded: false,
        }
    }

    /// Records the number of registered targets. Returns whether the platform has taken most of the
    /// ordered targets back.
    pub fn observe(&mut self, registered: u32, ordered: u32, now: Time) -> bool {
        self.registered = registered;
        self.high = self.high.max(registered).min(ordered);
        match registered == ordered {
            true => {
                self.differs_since = None;
                self.repeats.record_success();
            }
            false => {
                self.differs_since.get_or_insert(now);
            }
        }
        let lost = self.high >= 2 && registered * 2 <= self.high;
        if lost {
            self.high = registered;
        }
        lost
    }

    /// Leaves the group alone for a while.
    pub fn block(&mut self, now: Time) {
        self.blocked_until = now + BLOCK;
    }

    pub fn blocked(&self, now: Time) -> bool {
        now < self.blocked_until
    }

    /// Returns whether ordered targets may still be booting.
    pub fn booting(&self, ordered: u32, boot: Duration, now: Time) -> bool {
        self.registered < ordered
            && !self.blocked(now)
            && self.ordered_at.is_some_and(|t| now - t < boot + REGISTRATION_DELAY)
    }

    /// Returns the number of targets that are there or on their way.
    pub fn available(&self, ordered: u32, boot: Duration, now: Time) -> u32 {
        match self.booting(ordered, boot, now) {
            true => ordered,
            false => self.registered.min(ordered),
        }
    }

    /// Returns whether a lower number may be ordered: a call that may still be carried out would
    /// take back more than is known.
    pub fn may_lower(&self, now: Time) -> bool {
        !self.blocked(now) && self.uncertain_until.is_none_or(|t| now >= t)
    }

    /// Returns whether the latest order is due to be sent again since it was not carried out.
    pub fn resend_due(&self, now: Time) -> bool {
        self.refused && now >= self.retry_at && !self.blocked(now)
    }

    /// Returns whether the number has to be ordered again, since a call with another number may have
    /// been carried out after it.
    pub fn confirm_due(&self, now: Time) -> bool {
        self.superseded && self.uncertain_until.is_some_and(|t| now >= t)
    }

    /// Returns whether the same number is due to be ordered again, since the directory does not
    /// reflect it.
    pub fn repeat_due(&self, boot: Duration, now: Time) -> bool {
        let Some(since) = self.differs_since else { return false };
        let since = self.ordered_at.map_or(since, |t| since.max(t));
        now - since >= boot + REGISTRATION_DELAY && now >= self.retry_at && !self.blocked(now)
    }

    /// Records that an order is about to be sent; `repeat` says that its number is the same.
    pub fn begin(&mut self, repeat: bool, now: Time) {
        let uncertain = self.uncertain_until.is_some_and(|t| now < t);
        self.superseded = uncertain && (self.superseded || !repeat);
        if repeat {
            self.retry_at = now + self.repeats.record_failure(1.0);
        }
        if !self.superseded {
            self.uncertain_until = None;
        }
        self.refused = false;
        self.ordered_at = Some(now);
        self.differs_since = None;
    }

    /// Records the result of the latest order.
    pub fn end(&mut self, outcome: ScalingOutcome, now: Time) {
        match outcome {
            ScalingOutcome::Accepted => self.resends.record_success(),
            ScalingOutcome::Refused => {
                self.refused = true;
                self.retry_at = now + self.resends.record_failure(1.0);
            }
            ScalingOutcome::Conflict => {
                self.ordered_at = None;
                self.block(now);
            }
            ScalingOutcome::Unknown => self.uncertain_until = Some(now + LATE_CALL),
        }
    }
}
