//! The last check before a request's first byte goes to a target.
//!
//! What is known of a target changes while a request waits for a permit or a connection. Every rule
//! on what a target may be sent is therefore checked here once more, after the last wait.

mod denial;
mod intent;

pub use {denial::*, intent::*};

#[cfg(test)]
mod tests;
