//! Which requests are taken on: those that can be answered in time, in fair shares.

mod gate;
mod shares;

pub use {gate::*, shares::*};

#[cfg(test)]
mod tests;
