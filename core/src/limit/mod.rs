//! Back-off, circuit breaker, retry budget and resend budget, which limit the load that retries
//! put on failing targets.

mod backoff;
mod breaker;
mod resend;
mod retry;

pub use {backoff::*, breaker::*, resend::*, retry::*};

#[cfg(test)]
mod tests;
