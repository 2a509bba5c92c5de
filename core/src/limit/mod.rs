//! Limits that keep a failing target from being hit harder.

mod breaker;
mod retry;

pub use {breaker::*, retry::*};

#[cfg(test)]
mod tests;
