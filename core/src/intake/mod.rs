//! Limits on what callers make an instance hold, and which of it is given up when a limit is reached.

mod active_time;
mod arrivals;
mod body_budget;
mod shares;

pub use {active_time::*, arrivals::*, body_budget::*, shares::*};

#[cfg(test)]
mod tests;
