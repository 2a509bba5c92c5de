//! Discrete-time simulation of engines and entry instances in virtual time, to compare policies.
//!
//! Traces of a changing request mix are replayed against simulated engines. Routing, admission and
//! planning are the functions of `lentil_core` that the daemon runs.

mod engine;
mod fleet_engine;
mod fleet_setup;
mod policy;
mod routing;
mod score;
mod shared_fleet;
mod simulator;
mod trace;

pub use {
    engine::*, fleet_setup::*, policy::*, routing::*, score::*, shared_fleet::*, simulator::*,
    trace::*,
};
