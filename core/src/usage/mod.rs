//! Usage of the workspaces by windows of time, and the reports of it.
//!
//! Each instance counts the requests that it had begun at targets ([`UsageCounter`]). The holder of
//! the duty merges the counts of all instances ([`UsageTally`]). It writes the report of each window
//! to the store before it sends it ([`UsageRecord`], [`Reporter`]), so that every holder sends the
//! same report.

mod clock_check;
mod counter;
mod message;
mod record;
mod reporter;
mod tally;
mod true_time;
mod window;

pub use {
    clock_check::*, counter::*, message::*, record::*, reporter::*, tally::*, true_time::*,
    window::*,
};

#[cfg(test)]
mod tests;
