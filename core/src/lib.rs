//! Types and decisions of lentilgrade.
//!
//! Nothing here does I/O or reads a clock: every function that decides takes the present time as
//! an argument, so that the daemon, the experiments and the model checker run the same code.

pub mod clock;
pub mod error;
pub mod ids;
pub mod manifest;
pub mod settings;
