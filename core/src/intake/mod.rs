//! Limits on what callers make an instance hold, and which of it is given up when a limit is reached.

mod active_time;
mod arrivals;
mod body_budget;
mod connections;
mod shares;

pub use {active_time::*, arrivals::*, body_budget::*, connections::*, shares::*};

#[cfg(test)]
mod connection_tests;
#[cfg(test)]
mod tests;
