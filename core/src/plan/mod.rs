//! Planning of role changes, how many engines of a model prefill and how many decode, and of the
//! number of targets that are ordered by demand.

mod capacity;
mod demand;
mod demand_meter;
mod planner;
mod request;
mod role_balancer;
mod scaler;
mod scaling_counts;
mod scaling_group;
mod scaling_input;
mod scaling_layout;
mod scaling_load;

pub use {
    capacity::*,
    demand::*,
    demand_meter::*,
    planner::*,
    request::*,
    role_balancer::*,
    scaler::*,
    scaling_counts::*,
    scaling_input::{serving, Removal, ScalingInput},
    scaling_layout::layout,
    scaling_load::*,
};

#[cfg(test)]
mod tests;
