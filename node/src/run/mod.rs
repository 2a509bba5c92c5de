//! Runs of generations: engines are chosen, lost ones replaced, tokens passed on once each.

mod alone;
mod attempt;
mod blame;
mod piece;
mod request;
mod resume;
mod task;

pub use {piece::*, request::*, resume::resume, task::start};
