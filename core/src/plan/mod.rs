//! Planning of role changes: how many engines of a model prefill and how many decode.

mod capacity;
mod demand;
mod demand_meter;
mod planner;
mod request;
mod role_balancer;

pub use {capacity::*, demand::*, demand_meter::*, planner::*, request::*, role_balancer::*};

#[cfg(test)]
mod tests;
