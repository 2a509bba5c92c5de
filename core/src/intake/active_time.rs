use {crate::clock::Time, std::time::Duration};

/// Longest time between two readings that counts.
const MAX_STEP: Duration = Duration::from_secs(2);

/// Clock that runs only while the instance does: a pause of the process, in which it reads nothing,
/// adds at most a short step.
#[derive(Debug, Clone, Copy, Default)]
pub struct ActiveTime {
    last: Time,
    active: Time,
}

impl ActiveTime {
    /// Returns the active time at `now`. It has to be read about once a second.
    ///
    /// ```
    /// use {lentil_core::{clock::Time, intake::ActiveTime}, std::time::Duration};
    ///
    /// let mut clock = ActiveTime::default();
    /// let start = clock.advance(Time::from_millis(1_000));
    /// assert_eq!(clock.advance(Time::from_millis(1_500)) - start, Duration::from_millis(500));
    /// let paused = clock.advance(Time::from_millis(60_000));
    /// assert_eq!(paused - start, Duration::from_millis(2_500));
    /// ```
    pub fn advance(&mut self, now: Time) -> Time {
        self.active = self.active + (now - self.last).min(MAX_STEP);
        self.last = self.last.max(now);
        self.active
    }
}
