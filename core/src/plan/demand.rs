use {
    crate::{clock::Time, fleet::MAX_MIXED_PREFILL_SHARE, ids::Tokens},
    serde::{Deserialize, Serialize},
    std::{ops::Add, time::Duration},
};

/// Work that arrives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Tokens per second of prompts too long to be prefilled beside decoding in time.
    pub prefill: f64,
    /// Tokens per second of the other prompts.
    pub mixed: f64,
    /// Output tokens per second.
    pub decode: f64,
    /// Requests per second with a long prompt.
    pub long: f64,
    /// Requests per second with another prompt.
    pub short: f64,
    /// Seconds allowed until the first token, summed over the long requests of a second.
    pub ttft_budget: f64,
}

impl Demand {
    fn map(self, f: impl Fn(f64) -> f64) -> Self {
        Self {
            prefill: f(self.prefill),
            mixed: f(self.mixed),
            decode: f(self.decode),
            long: f(self.long),
            short: f(self.short),
            ttft_budget: f(self.ttft_budget),
        }
    }

    /// The demand moved toward another by a part.
    #[must_use]
    pub fn blend(self, other: Self, part: f64) -> Self {
        let part = part.min(1.0);
        self.map(|x| x * (1.0 - part)) + other.map(|x| x * part)
    }

    /// Seconds that a mean long prompt is prefilled at `rate` tokens per second.
    pub fn mean_prefill_s(&self, rate: f64) -> f64 {
        self.prefill / self.long.max(1e-9) / rate
    }

    /// Mean seconds allowed until the first token of a long request.
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

/// Part of the time to the first token that a prompt may take beside decoding.
const MAX_MIXED_TTFT_SHARE: f64 = 0.5;

/// One request as the demand counts it.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Prompt tokens to prefill, after cache hits.
    pub prompt: Tokens,
    /// Output tokens expected.
    pub output: Tokens,
    /// Latest first token.
    pub first: Duration,
}

impl Request {
    /// The demand of one such request a second, where engines prefill `rate` tokens per second.
    ///
    /// ```
    /// use {lentil_core::{ids::Tokens, plan::Request}, std::time::Duration};
    ///
    /// let first = Duration::from_millis(480);
    /// let short = Request { prompt: Tokens(400), output: Tokens(100), first };
    /// let long = Request { prompt: Tokens(4_000), ..short };
    /// assert_eq!((short.demand(20_000.0).short, long.demand(20_000.0).long), (1.0, 1.0));
    /// ```
    pub fn demand(&self, rate: f64) -> Demand {
        let (prompt, first) = (self.prompt.0 as f64, self.first.as_secs_f64());
        let decode = self.output.0 as f64;
        match prompt / (rate * MAX_MIXED_PREFILL_SHARE) <= first * MAX_MIXED_TTFT_SHARE {
            true => Demand { mixed: prompt, decode, short: 1.0, ..Demand::default() },
            false => Demand {
                prefill: prompt,
                decode,
                long: 1.0,
                ttft_budget: first,
                ..Demand::default()
            },
        }
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

    /// Notes the demand of a request that arrived at `now`, taken on or not.
    pub fn arrived(&mut self, one: Demand, now: Time) {
        self.fade(now);
        self.mean = self.mean + one.map(|x| x / self.span);
    }

    /// The demand at `now`.
    pub fn demand(&self, now: Time) -> Demand {
        let mut meter = self.clone();
        meter.fade(now);
        meter.mean
    }

    fn fade(&mut self, now: Time) {
        let keep = (-(now - self.at).as_secs_f64() / self.span).exp();
        self.mean = self.mean.map(|x| x * keep);
        self.at = self.at.max(now);
    }
}
