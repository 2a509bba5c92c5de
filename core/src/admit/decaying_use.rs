use {crate::clock::Time, std::time::Duration};

const USE_HALF_LIFE_S: f64 = 10.0;

/// Sum that decays exponentially, as of `updated_at`.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingUse {
    sum: f64,
    updated_at: Time,
}

impl DecayingUse {
    /// Returns the sum after its decay until `now`.
    pub(super) fn at(&self, now: Time) -> f64 {
        self.sum * (-(now - self.updated_at).as_secs_f64() / USE_HALF_LIFE_S).exp2()
    }

    /// Adds to the sum.
    pub(super) fn add(&mut self, amount: f64, now: Time) {
        *self = Self { sum: self.at(now) + amount, updated_at: now };
    }

    /// Returns the time in which a sum decays from one value to a lower one.
    pub(super) fn time_to_decay(from: f64, to: f64) -> Duration {
        let halvings = (from / to.max(1e-9)).log2().clamp(0.0, 60.0);
        Duration::from_secs_f64(USE_HALF_LIFE_S * halvings)
    }
}
