//! Which requests are taken on: those that can be answered in time, in fair shares.

mod admission;
mod queue;
mod shares;

pub use {admission::*, queue::*, shares::*};

#[cfg(test)]
mod tests;
