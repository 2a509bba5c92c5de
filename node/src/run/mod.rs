//! Runs of generations: engines are chosen, lost ones replaced, tokens passed on once each.

mod attempt;
mod choose;
mod export;
mod failure;
mod in_flight;
mod isolation;
mod piece;
mod proxied;
mod request;
mod resume;
mod task;

pub use {piece::*, request::*, resume::resume, task::start};
