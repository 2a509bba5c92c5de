//! Fake of the platform's key-value service.

mod faults;
mod store;

pub use {faults::*, store::*};
