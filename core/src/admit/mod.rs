//! Admission control: refuses requests that would miss their latency targets, and enforces fair
//! shares under contention.

mod admission;
mod decaying_use;
mod fleet_shares;
mod patience;
mod queue;
mod workspace_usage;

use {decaying_use::*, workspace_usage::MAX_TRACKED_WORKSPACES};

pub use {admission::*, fleet_shares::*, patience::*, queue::*, workspace_usage::*};

#[cfg(test)]
mod tests;
