use {
    crate::{clock::Time, ids::RequestRate},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Lowest rate at which permits are given. Only an answer shows that a limit has ended, so a target
/// that announces a limit of zero gets a request now and then.
const MIN_PERMIT_RATE: f64 = 0.5;
/// Time for which unused permits accumulate.
const PERMIT_BURST: Duration = Duration::from_millis(200);
/// Part of a target's rate that all instances share while they get no permits from its holder. The
/// holder may still give others the full rate, and targets tolerate 1.5 times their limit.
const LOCAL_RATE_SHARE: f64 = 0.25;

fn interval(rate: RequestRate, share: f64) -> Duration {
    let per_second = rate.per_second().max(MIN_PERMIT_RATE) * share;
    // A share of zero gives no permit within any useful time.
    Duration::try_from_secs_f64(1.0 / per_second).unwrap_or(Duration::MAX)
}

/// Reply to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// One request may be sent.
    Granted {
        /// Time to wait before it is sent.
        wait: Duration,
        /// Time until the next permit is available.
        next: Duration,
    },
    /// No request may be sent now.
    Denied {
        /// Time until the next permit is available.
        next: Duration,
    },
}

/// Permits of one target, as given by the instance that holds its schedule, so that the instances
/// together stay within the rate that the target announces.
#[derive(Debug, Clone, Copy, Default)]
pub struct PermitSchedule {
    /// When all permits given so far are used up at the target's rate.
    used_until: Time,
}

impl PermitSchedule {
    /// Gives a permit that is valid within `max_wait`. `share` is the part of `rate` that this
    /// schedule may use: less than 1 if other instances may hold a schedule of the target too.
    /// Unused schedules of several holders then begin at random times, by `jitter` from 0 to 1.
    ///
    /// ```
    /// use lentil_core::{clock::Time, ids::RequestRate, limit::{Permit, PermitSchedule}};
    ///
    /// let rate = RequestRate::new(5.0).unwrap();
    /// let mut schedule = PermitSchedule::default();
    /// let zero = std::time::Duration::ZERO;
    /// let granted = |permit| matches!(permit, Permit::Granted { .. });
    /// let count = (0..3_000)
    ///     .filter(|ms| granted(schedule.take((rate, 1.0), zero, 0.0, Time::from_millis(*ms))))
    ///     .count();
    /// assert_eq!(count, 16);
    /// ```
    pub fn take(
        &mut self,
        (rate, share): (RequestRate, f64),
        max_wait: Duration,
        jitter: f64,
        now: Time,
    ) -> Permit {
        let interval = interval(rate, share);
        if share < 1.0 && now - self.used_until > interval {
            self.used_until = now + PERMIT_BURST + interval.mul_f64(jitter * (1.0 - share));
        }
        let available = |used_until: Time| (used_until - now).saturating_sub(PERMIT_BURST);
        let wait = available(self.used_until);
        if wait > max_wait {
            return Permit::Denied { next: wait };
        }
        self.used_until = self.used_until.max(now) + interval;
        Permit::Granted { wait, next: available(self.used_until) }
    }
}

/// The requests that an instance sends to a limited target without permits, while it cannot reach
/// the holder of the target's schedule.
#[derive(Debug, Clone, Copy, Default)]
pub struct LocalSchedule {
    next: Option<Time>,
}

impl LocalSchedule {
    /// Takes this instance's part of `rate`, which `instances` share; returns the time until its
    /// next request otherwise.
    ///
    /// The first request after a pause comes at a random time, by `jitter` from 0 to 1: many
    /// instances that each begin with one request would exceed the rate.
    ///
    /// # Errors
    /// The time until the next request.
    pub fn take(
        &mut self,
        rate: RequestRate,
        instances: Option<u32>,
        jitter: f64,
        now: Time,
    ) -> Result<(), Duration> {
        let share = instances.map_or(0.0, |n| LOCAL_RATE_SHARE / f64::from(n.max(1)));
        let interval = interval(rate, share);
        let next = self.next.filter(|next| now - *next <= interval);
        let next = next.unwrap_or_else(|| now + interval.mul_f64(jitter));
        if now < next {
            self.next = Some(next);
            return Err(next - now);
        }
        self.next = Some(next + interval);
        Ok(())
    }
}
