//! Quarantine of requests that crash the targets that run them.

mod fingerprint;
mod isolation;
mod quarantine;

pub use {isolation::*, quarantine::*};

#[cfg(test)]
mod tests;
