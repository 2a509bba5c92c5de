use std::time::Duration;

/// Exponential back-off with jitter, so that an outage does not cause a flood of calls.
#[derive(Debug, Clone)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a back-off whose pauses double from `initial` up to `max`.
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self { initial, max, failures: 0 }
    }

    /// Records a failure and returns the pause before the next attempt. `jitter` is a random number
    /// in 0..1 that spreads the callers over the second half of the pause.
    ///
    /// ```
    /// # use {lentil_core::limit::Backoff, std::time::Duration};
    /// let mut backoff = Backoff::new(Duration::from_millis(200), Duration::from_millis(1_000));
    /// let pauses: Vec<u128> = (0..4).map(|_| backoff.record_failure(1.0).as_millis()).collect();
    /// assert_eq!(pauses, [200, 400, 800, 1_000]);
    /// backoff.record_success();
    /// assert_eq!(backoff.record_failure(0.0).as_millis(), 100);
    /// ```
    pub fn record_failure(&mut self, jitter: f64) -> Duration {
        let pause = self.initial.saturating_mul(1 << self.failures.min(16)).min(self.max);
        self.failures += 1;
        pause.mul_f64(0.5 + 0.5 * jitter)
    }

    /// Records a success, which resets the next pause to the initial one.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}
