use {
    crate::clock::Time,
    std::{collections::VecDeque, time::Duration},
};

/// Number of slices of the sliding window.
const WINDOW_SLICES: u32 = 10;
/// Share of the allowance that is used. The rest is a margin for the time in which the instances
/// differ about how many of them there are.
const USABLE_ALLOWANCE_SHARE: f64 = 0.8;

/// Limit on the resends of a service in any window, over all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResendLimit {
    /// Resends allowed for each request.
    pub ratio: f64,
    /// Resends allowed in each window in addition, over all instances.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Slice {
    number: u64,
    requests: u32,
    resends: u32,
}

/// Resend budget of one service at one instance, from its requests and resends in a sliding window.
#[derive(Debug, Clone, Default)]
pub struct ResendBudget {
    slices: VecDeque<Slice>,
}

impl ResendBudget {
    /// Counts a request, which increases the budget by [`ResendLimit::ratio`].
    pub fn record_request(&mut self, limit: &ResendLimit, now: Time) {
        self.slice(limit, now).requests += 1;
    }

    /// Takes `count` resends from this instance's share of the budget; `false` if fewer remain.
    /// `instances` is the number of instances, this one included; `None` if it is not known, and the
    /// slack cannot be shared.
    ///
    /// ```
    /// # use {lentil_core::{clock::Time, limit::{ResendBudget, ResendLimit}}, std::time::Duration};
    /// let limit = ResendLimit { ratio: 0.0, slack: 10.0, window: Duration::from_secs(10) };
    /// let mut budget = ResendBudget::default();
    /// let taken = (0..20).filter(|_| budget.take(&limit, Some(2), 1, Time::ZERO)).count();
    /// assert_eq!(taken, 4);
    /// ```
    pub fn take(
        &mut self,
        limit: &ResendLimit,
        instances: Option<u32>,
        count: u32,
        now: Time,
    ) -> bool {
        if i64::from(count) > self.remaining(limit, instances, now) {
            return false;
        }
        self.slice(limit, now).resends += count;
        true
    }

    /// Returns the resends left at `now` to this instance, one of `instances`; negative if the
    /// budget is overdrawn.
    pub fn remaining(&self, limit: &ResendLimit, instances: Option<u32>, now: Time) -> i64 {
        let oldest = Self::number(limit, now).saturating_sub(u64::from(WINDOW_SLICES));
        let slices = self.slices.iter().filter(|s| s.number >= oldest);
        let (requests, resends) = slices.fold((0, 0), |(a, b), s| (a + s.requests, b + s.resends));
        let share = instances.map_or(0.0, |n| limit.slack / f64::from(n.max(1)));
        let allowed = (limit.ratio * f64::from(requests) + share) * USABLE_ALLOWANCE_SHARE;
        (allowed - f64::from(resends)).floor() as i64
    }

    fn number(limit: &ResendLimit, now: Time) -> u64 {
        let length = (limit.window / WINDOW_SLICES).as_micros().max(1) as u64;
        now.as_micros() / length
    }

    fn slice(&mut self, limit: &ResendLimit, now: Time) -> &mut Slice {
        let number = Self::number(limit, now);
        // Keeps one slice more than the window has, because the window starts within a slice.
        let oldest = number.saturating_sub(u64::from(WINDOW_SLICES));
        while self.slices.front().is_some_and(|s| s.number < oldest) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|s| s.number < number) {
            self.slices.push_back(Slice { number, requests: 0, resends: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
