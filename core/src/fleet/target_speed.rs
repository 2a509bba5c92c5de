/// Number of observations that count as much as the service's mean.
const PRIOR: f64 = 4.0;
/// Smallest weight of a new observation.
const MIN_WEIGHT: f64 = 0.05;
/// Largest factor by which one observation may differ from the service's mean; what lies outside is
/// waiting, not speed.
const MAX_FACTOR: f64 = 4.0;

/// Lasting factor by which a kind of work takes longer at one target than on average at the
/// service's targets.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SpeedFactor {
    /// Mean of the logarithms.
    log: f64,
    count: u32,
}

impl SpeedFactor {
    /// Records that work took `seconds`, at the target's pace of that moment, where the service's
    /// targets take `usual` seconds on average.
    ///
    /// ```
    /// # use lentil_core::fleet::SpeedFactor;
    /// let mut factor = SpeedFactor::default();
    /// assert_eq!(factor.get(), 1.0);
    /// // Slow at the moment, not lastingly.
    /// (0..50).for_each(|_| factor.observe(0.06, 0.03, 2.0));
    /// assert_eq!(factor.get(), 1.0);
    /// (0..50).for_each(|_| factor.observe(0.06, 0.03, 1.0));
    /// assert!((1.5..2.0).contains(&factor.get()));
    /// ```
    pub fn observe(&mut self, seconds: f64, usual: f64, pace: f64) {
        let factor = seconds / (usual * pace);
        if !factor.is_finite() || factor <= 0.0 {
            return;
        }
        let log = factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR).ln();
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(MIN_WEIGHT);
        self.log += (log - self.log) * weight;
    }

    /// Returns whether work of this kind was observed.
    pub fn is_known(&self) -> bool {
        self.count > 0
    }

    /// Returns the factor, closer to 1 the fewer observations there are.
    pub fn get(&self) -> f64 {
        let count = f64::from(self.count);
        (self.log * count / (count + PRIOR)).exp()
    }
}

/// Lasting speed of one target, by the kind of its work.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetSpeed {
    /// Prefill of a prompt.
    pub prefill: SpeedFactor,
    /// Time between two tokens of a stream.
    pub decode: SpeedFactor,
    /// Plain requests.
    pub plain: SpeedFactor,
}
