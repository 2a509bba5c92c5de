//! Discrete-time simulation of engines and entry instances in virtual time, to compare policies.
//!
//! Traces of a changing request mix are replayed against simulated engines. Routing, admission and
//! planning are the functions of `lentil_core` that the daemon runs.

mod engine;
mod policy;
mod routing;
mod score;
mod simulator;
mod trace;

pub use {engine::*, policy::*, routing::*, score::*, simulator::*, trace::*};
