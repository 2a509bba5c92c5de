use {
    super::Demand,
    crate::{fleet::MAX_MIXED_PREFILL_SHARE, ids::Tokens},
    std::time::Duration,
};

/// Share of the allowed time to first token that the prefill on a decoding engine may take.
const MAX_MIXED_TTFT_SHARE: f64 = 0.5;

/// Size and latency target of one request, from which its [`Demand`] is computed.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Prompt tokens to prefill, after cache hits.
    pub prompt: Tokens,
    /// Expected output tokens.
    pub output: Tokens,
    /// Longest time to the first token.
    pub first_token: Duration,
}

impl Request {
    /// Returns the demand of one such request per second. Whether the request counts as long or
    /// short depends on `rate`, the prefill tokens per second of an engine.
    ///
    /// ```
    /// use {lentil_core::{ids::Tokens, plan::Request}, std::time::Duration};
    ///
    /// let first_token = Duration::from_millis(480);
    /// let short = Request { prompt: Tokens(400), output: Tokens(100), first_token };
    /// let long = Request { prompt: Tokens(4_000), ..short };
    /// assert_eq!((short.demand(20_000.0).short, long.demand(20_000.0).long), (1.0, 1.0));
    /// ```
    pub fn demand(&self, rate: f64) -> Demand {
        let (prompt, first) = (self.prompt.0 as f64, self.first_token.as_secs_f64());
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
