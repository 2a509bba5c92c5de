//! Crowds of clients that exhaust an instance, and the instances that they connect to.

mod client;
mod process;

pub use {client::*, process::*};
