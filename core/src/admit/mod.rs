//! Admission control: refuses requests that would miss their latency targets, and enforces fair
//! shares under contention.

mod admission;
mod patience;
mod queue;
mod shares;

pub use {admission::*, patience::*, queue::*, shares::*};

#[cfg(test)]
mod tests;
