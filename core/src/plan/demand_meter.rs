use {super::Demand, crate::clock::Time};

/// Measures the demand that arrives at an instance, as an exponentially weighted moving average.
#[derive(Debug, Clone)]
pub struct DemandMeter {
    span: f64,
    mean: Demand,
    updated_at: Time,
}

impl DemandMeter {
    /// Creates a meter whose average has a time constant of `span` seconds.
    pub fn new(span: f64, now: Time) -> Self {
        Self { span, mean: Demand::default(), updated_at: now }
    }

    /// Records the demand of a request that arrived at `now`, whether it was admitted or not.
    pub fn record_arrival(&mut self, request: Demand, now: Time) {
        self.decay(now);
        self.mean = self.mean + request.map(|x| x / self.span);
    }

    /// Returns the average demand at `now`.
    pub fn demand(&self, now: Time) -> Demand {
        let mut meter = self.clone();
        meter.decay(now);
        meter.mean
    }

    fn decay(&mut self, now: Time) {
        let factor = (-(now - self.updated_at).as_secs_f64() / self.span).exp();
        self.mean = self.mean.map(|x| x * factor);
        self.updated_at = self.updated_at.max(now);
    }
}
