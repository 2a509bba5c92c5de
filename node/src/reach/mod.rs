//! Checks whether this instance reaches the targets of its services, and which other instances do.

mod check;
mod offers;
mod probe;
mod watch;

pub use {
    check::{begin_check, running_check, ReachChecks},
    offers::answer_reach_question,
    probe::{probe_some, probe_target},
    watch::watch_reach,
};
