//! Which engine changes its role, and when.

mod capacity;
mod demand;
mod planner;
mod role_balancer;

pub use {capacity::*, demand::*, planner::*, role_balancer::*};

#[cfg(test)]
mod tests;
