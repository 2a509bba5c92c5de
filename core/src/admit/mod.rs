//! Admission control: refuses requests that would miss their latency targets, and enforces fair
//! shares under contention.

mod admission;
mod patience;
mod queue;
mod workspace_usage;

pub use {admission::*, patience::*, queue::*, workspace_usage::*};

#[cfg(test)]
mod tests;
