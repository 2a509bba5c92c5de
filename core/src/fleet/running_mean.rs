/// Smallest weight of a new observation, reached after 20 of them.
const MIN_OBSERVATION_WEIGHT: f64 = 0.05;

/// Mean of a series: the arithmetic mean of the first observations, then an exponentially weighted
/// moving average.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunningMean {
    mean: f64,
    count: u32,
}

impl RunningMean {
    /// Adds an observation; values that are not finite are ignored.
    ///
    /// ```
    /// # use lentil_core::fleet::RunningMean;
    /// let mut rate = RunningMean::default();
    /// assert_eq!(rate.mean(), None);
    /// rate.observe(10.0);
    /// rate.observe(20.0);
    /// assert_eq!(rate.mean(), Some(15.0));
    /// ```
    pub fn observe(&mut self, value: f64) {
        if !value.is_finite() {
            return;
        }
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(MIN_OBSERVATION_WEIGHT);
        self.mean += (value - self.mean) * weight;
    }

    /// Returns the mean, or `None` before the first observation.
    pub fn mean(&self) -> Option<f64> {
        (self.count > 0).then_some(self.mean)
    }
}
