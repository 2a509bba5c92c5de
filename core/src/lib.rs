//! Data types and decision logic of lentilgrade.
//!
//! This crate does no I/O and reads no clock: functions that depend on time take the present time
//! as an argument, so that the daemon, the experiments and the model checker run the same code.

pub mod admit;
pub mod claim;
pub mod clock;
pub mod error;
pub mod fleet;
pub mod gate;
pub mod ids;
pub mod intake;
pub mod limit;
pub mod manifest;
pub mod mesh;
pub mod order;
pub mod plan;
pub mod poison;
pub mod reach;
pub mod route;
pub mod routes;
pub mod settings;
pub mod stream;
pub mod usage;
