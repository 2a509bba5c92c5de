use {
    crate::{clock::Time, ids::RequestRate},
    std::time::Duration,
};

/// Rate limit that a target announces in its answers, as one instance knows it.
///
/// Answers on different connections overtake each other. A lower limit therefore takes effect with
/// any answer, but a higher limit, or none, only with the answer to a request that was sent after
/// the limit in force was announced.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AnnouncedLimit {
    rate: Option<RequestRate>,
    /// When an answer last announced the limit in force.
    announced: Time,
    /// When the next permit is expected to be available.
    available: Time,
}

impl AnnouncedLimit {
    /// Returns the limit in force, if there is one.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Returns the time until this instance can expect a permit for a request; zero without a limit.
    pub fn wait(&self, now: Time) -> Duration {
        self.rate.map_or(Duration::ZERO, |_| self.available - now)
    }

    /// Records that the next permit is available after `wait`.
    pub fn record_wait(&mut self, wait: Duration, now: Time) {
        self.available = now + wait;
    }

    /// Returns the time since an answer last announced the limit in force.
    pub fn age(&self, now: Time) -> Duration {
        now - self.announced
    }

    /// Records what the answer to a request that was sent at `sent` announces; returns `true` if
    /// that changes the limit in force.
    ///
    /// ```
    /// use lentil_core::{clock::Time, ids::RequestRate, limit::AnnouncedLimit};
    ///
    /// let at = Time::from_millis;
    /// let rate = RequestRate::new(10.0).ok();
    /// let mut limit = AnnouncedLimit::default();
    /// assert!(limit.record(rate, at(0), at(20)));
    /// assert!(!limit.record(None, at(10), at(30)), "sent before the limit was announced");
    /// assert_eq!(limit.rate(), rate);
    /// assert!(limit.record(None, at(25), at(40)));
    /// ```
    pub fn record(&mut self, announced: Option<RequestRate>, sent: Time, now: Time) -> bool {
        let lower = match (announced, self.rate) {
            (Some(new), Some(old)) => new <= old,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if !lower && sent < self.announced {
            return false;
        }
        if announced.is_some() {
            self.announced = now;
        }
        std::mem::replace(&mut self.rate, announced) != announced
    }
}
