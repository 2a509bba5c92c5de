use std::time::Duration;

/// Pauses that grow while something fails, so that an outage is not met by a flood of calls.
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    most: Duration,
    failures: u32,
}

impl Backoff {
    /// Pauses from `first` on, doubling up to `most`.
    pub fn new(first: Duration, most: Duration) -> Self {
        Self { first, most, failures: 0 }
    }

    /// The pause after a failure; `draw` is a random number in 0..1 that spreads the callers over
    /// the pause's second half.
    ///
    /// ```
    /// # use {lentil_core::limit::Backoff, std::time::Duration};
    /// let mut backoff = Backoff::new(Duration::from_millis(200), Duration::from_millis(1_000));
    /// let pauses: Vec<u128> = (0..4).map(|_| backoff.failed(1.0).as_millis()).collect();
    /// assert_eq!(pauses, [200, 400, 800, 1_000]);
    /// backoff.succeeded();
    /// assert_eq!(backoff.failed(0.0).as_millis(), 100);
    /// ```
    pub fn failed(&mut self, draw: f64) -> Duration {
        let pause = self.first.saturating_mul(1 << self.failures.min(16)).min(self.most);
        self.failures += 1;
        pause.mul_f64(0.5 + 0.5 * draw)
    }

    /// Notes a success: the next pause is the first one again.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
