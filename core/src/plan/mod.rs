//! Which engine changes its role, and when.

mod balance;
mod capacity;
mod demand;
mod planner;

pub use {balance::*, capacity::*, demand::*, planner::*};

#[cfg(test)]
mod tests;
