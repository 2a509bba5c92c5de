//! Runs requests on engines: chooses them, retries on others when they fail, and forwards each
//! piece of the answer exactly once.

mod attempt;
mod attempts;
mod choose;
mod engine_choice;
mod export;
mod failure;
mod in_flight;
mod isolation;
mod permit;
mod piece;
mod prefill;
mod prefix;
mod proxied;
mod relay;
mod request;
mod resume;
mod send;
mod speed;
mod stream_origin;
mod task;
mod usage;

pub use {attempts::start, failure::Investigations, piece::*, request::*, resume::resume};
