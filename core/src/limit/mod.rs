//! Back-off, circuit breaker, retry budget and resend budget, which limit the load that retries
//! put on failing targets, and the rate limits that targets announce.

mod announced;
mod backoff;
mod breaker;
mod permits;
mod resend;
mod retry;

pub use {announced::*, backoff::*, breaker::*, permits::*, resend::*, retry::*};

#[cfg(test)]
mod tests;
