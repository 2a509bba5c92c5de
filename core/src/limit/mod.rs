//! Limits that keep a failing target from being hit harder.

mod backoff;
mod breaker;
mod resend;
mod retry;

pub use {backoff::*, breaker::*, resend::*, retry::*};

#[cfg(test)]
mod tests;
