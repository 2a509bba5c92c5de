//! Runs of generations: engines are chosen, lost ones replaced, tokens passed on once each.

mod alone;
mod attempt;
mod blame;
mod choose;
mod export;
mod hold;
mod piece;
mod request;
mod resume;
mod routed;
mod task;

pub use {piece::*, request::*, resume::resume, task::start};
