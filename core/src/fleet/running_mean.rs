/// Weight of one observation once there are enough.
const MIN_OBSERVATION_WEIGHT: f64 = 0.05;

/// Mean that follows observations: the plain mean of the first ones, then a fading one.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunningMean {
    mean: f64,
    count: u32,
}

impl RunningMean {
    /// Notes an observation.
    ///
    /// ```
    /// # use lentil_core::fleet::RunningMean;
    /// let mut learned = RunningMean::default();
    /// assert_eq!(learned.mean(), None);
    /// learned.observe(10.0);
    /// learned.observe(20.0);
    /// assert_eq!(learned.mean(), Some(15.0));
    /// ```
    pub fn observe(&mut self, value: f64) {
        if !value.is_finite() {
            return;
        }
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(MIN_OBSERVATION_WEIGHT);
        self.mean += (value - self.mean) * weight;
    }

    /// The mean, once there is an observation.
    pub fn mean(&self) -> Option<f64> {
        (self.count > 0).then_some(self.mean)
    }
}
