use {
    serde::{Deserialize, Serialize},
    std::ops::Add,
};

/// Work that arrives per second for one model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Prompt tokens per second of long requests, whose prefill on a decoding engine would take too
    /// long.
    pub prefill: f64,
    /// Prompt tokens per second of short requests, which are prefilled on decoding engines.
    pub mixed: f64,
    /// Output tokens per second of all requests.
    pub decode: f64,
    /// Long requests per second.
    pub long: f64,
    /// Short requests per second.
    pub short: f64,
    /// Sum of the times to first token, in seconds, allowed to the long requests that arrive in a
    /// second.
    pub ttft_budget: f64,
}

impl Demand {
    pub(super) fn map(self, f: impl Fn(f64) -> f64) -> Self {
        Self {
            prefill: f(self.prefill),
            mixed: f(self.mixed),
            decode: f(self.decode),
            long: f(self.long),
            short: f(self.short),
            ttft_budget: f(self.ttft_budget),
        }
    }

    /// Returns the weighted mean of two demands, where `other` has `weight` (1 at most).
    #[must_use]
    pub fn blend(self, other: Self, weight: f64) -> Self {
        let weight = weight.min(1.0);
        self.map(|x| x * (1.0 - weight)) + other.map(|x| x * weight)
    }

    /// Returns the mean prefill time of a long prompt, in seconds, at `rate` tokens per second.
    pub fn mean_prefill_s(&self, rate: f64) -> f64 {
        self.prefill / self.long.max(1e-9) / rate
    }

    /// Returns the mean time to first token, in seconds, allowed to a long request.
    pub fn mean_ttft_budget(&self) -> f64 {
        self.ttft_budget / self.long.max(1e-9)
    }
}

impl Add for Demand {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self {
            prefill: self.prefill + other.prefill,
            mixed: self.mixed + other.mixed,
            decode: self.decode + other.decode,
            long: self.long + other.long,
            short: self.short + other.short,
            ttft_budget: self.ttft_budget + other.ttft_budget,
        }
    }
}
