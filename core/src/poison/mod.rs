//! Quarantine of requests that crash the targets that run them.

mod fingerprint;
mod isolation;
mod quarantine;
mod verdict;

pub use {isolation::*, quarantine::*, verdict::*};

#[cfg(test)]
mod tests;
