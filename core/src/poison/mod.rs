//! Quarantine of requests that crash the targets that run them.

mod fingerprint;
mod quarantine;

pub use quarantine::*;

#[cfg(test)]
mod tests;
