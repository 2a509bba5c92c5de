use {
    crate::{clock::Time, ids::RequestRate},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Lowest rate at which the only holder of a schedule gives permits. Only an answer shows that a limit
/// has ended, so a target that announces a limit of zero gets a request now and then.
const MIN_PERMIT_RATE: f64 = 0.5;
/// Share of the instances from which a holder is the only one that gives permits.
const SOLE_HOLDER_SHARE: f64 = 0.5;
/// Longest time between two requests of one schedule.
const MAX_INTERVAL: Duration = Duration::from_secs(3_600);
/// Time for which unused permits accumulate.
const PERMIT_BURST: Duration = Duration::from_millis(200);
/// Part of a target's rate that all instances share while they get no permits from its holder. The
/// holder may still give others the full rate, and targets tolerate 1.5 times their limit.
const LOCAL_RATE_SHARE: f64 = 0.25;

fn interval(per_second: f64) -> Duration {
    Duration::try_from_secs_f64(1.0 / per_second).map_or(MAX_INTERVAL, |i| i.min(MAX_INTERVAL))
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
    /// When all permits given so far are used up at the target's rate; `None` before the first one.
    used_until: Option<Time>,
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
        let min_rate = if share > SOLE_HOLDER_SHARE { MIN_PERMIT_RATE } else { 0.0 };
        let interval = interval(rate.per_second().max(min_rate) * share);
        let unused = self.used_until.is_none_or(|used| now - used > interval);
        let used_until = match self.used_until {
            _ if unused && share < 1.0 => {
                now + PERMIT_BURST + interval.mul_f64(jitter * (1.0 - share))
            }
            Some(used) => used,
            None => now,
        };
        let available = |used_until: Time| (used_until - now).saturating_sub(PERMIT_BURST);
        let wait = available(used_until);
        if wait > max_wait {
            self.used_until = Some(used_until);
            return Permit::Denied { next: wait };
        }
        let used_until = used_until.max(now) + interval;
        self.used_until = Some(used_until);
        Permit::Granted { wait, next: available(used_until) }
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
        let interval = interval(rate.per_second() * share);
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
