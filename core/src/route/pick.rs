use {super::Wait, crate::ids::Tokens, std::time::Duration};

/// Engines chosen for a request, as indices into the engine table, with the expected times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// The engine that decodes.
    pub decode: usize,
    /// The engine that prefills, if it is not the decoding one.
    pub prefill: Option<usize>,
    /// Expected time to the first token.
    pub first_token: Duration,
    /// Part of `first_token` that the request spends in queues.
    pub queue_wait: Duration,
    /// What the request waits for in that time.
    pub wait: Wait,
    /// Expected time to the end of the output.
    pub end: Duration,
    /// Prompt tokens that need no prefill, because they are cached or can be fetched.
    pub hit: Tokens,
    /// Whether the prefilling engine is only assumed to have those tokens.
    pub assumed: bool,
    /// The engine to fetch those tokens from, if the prefilling one does not have them.
    pub fetch: Option<usize>,
}
