//! Limits that keep a failing target from being hit harder.

mod breaker;
mod resend;
mod retry;

pub use {breaker::*, resend::*, retry::*};

#[cfg(test)]
mod tests;
