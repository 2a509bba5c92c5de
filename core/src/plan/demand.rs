use {
    crate::{clock::Time, ids::Tokens},
    serde::{Deserialize, Serialize},
    std::ops::Add,
};

/// Work that arrives, in tokens per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Prompt tokens to prefill, after cache hits.
    pub prefill: f64,
    /// Output tokens to decode.
    pub decode: f64,
}

impl Add for Demand {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self { prefill: self.prefill + other.prefill, decode: self.decode + other.decode }
    }
}

/// Measures demand where it arrives, as a mean that forgets.
#[derive(Debug, Clone)]
pub struct DemandMeter {
    span: f64,
    mean: Demand,
    at: Time,
}

impl DemandMeter {
    /// A meter whose mean reaches back about `span` seconds.
    pub fn new(span: f64, now: Time) -> Self {
        Self { span, mean: Demand::default(), at: now }
    }

    /// Notes a request that arrived at `now`, taken on or not.
    pub fn arrived(&mut self, prefill: Tokens, decode: Tokens, now: Time) {
        self.fade(now);
        self.mean.prefill += prefill.0 as f64 / self.span;
        self.mean.decode += decode.0 as f64 / self.span;
    }

    /// The demand at `now`.
    pub fn demand(&self, now: Time) -> Demand {
        let mut meter = self.clone();
        meter.fade(now);
        meter.mean
    }

    fn fade(&mut self, now: Time) {
        let keep = (-(now - self.at).as_secs_f64() / self.span).exp();
        self.mean.prefill *= keep;
        self.mean.decode *= keep;
        self.at = self.at.max(now);
    }
}
