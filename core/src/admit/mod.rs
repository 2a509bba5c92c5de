//! Which requests are taken on: those that can be answered in time, in fair shares.

mod gate;
mod queue;
mod shares;

pub use {gate::*, queue::*, shares::*};

#[cfg(test)]
mod tests;
