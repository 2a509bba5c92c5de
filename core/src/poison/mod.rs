//! Quarantine of requests, and of parts of prompts, that crash the targets that run them.

mod cleared;
mod fingerprint;
mod isolation;
mod quarantine;
mod subject;
mod verdict;

pub use {cleared::*, isolation::*, quarantine::*, subject::*, verdict::*};

#[cfg(test)]
mod tests;
