//! Which engine changes its role, and when.

mod capacity;
mod demand;
mod planner;

pub use {capacity::*, demand::*, planner::*};

#[cfg(test)]
mod tests;
