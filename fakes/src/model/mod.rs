//! Model of the served systems in virtual time, for measuring decisions: small engines, traces of
//! the mix, and the policies that are compared. Routing, admission and planning are the functions
//! of `lentil_core` that the daemon runs.

mod engine;
mod policy;
mod routing;
mod score;
mod trace;
mod world;

pub use {engine::*, policy::*, routing::*, score::*, trace::*, world::*};
