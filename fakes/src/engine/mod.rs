//! Fake model engine: batches requests, caches prefixes, serves by priority, resumes and cancels
//! runs, exports and imports KV caches, reports its load with a lag, and applies orders.

mod cache;
mod faults;
mod queue;
mod runs;
mod server;
mod setup;
mod state;
mod tokens;

pub use {faults::*, server::*, setup::*, state::OrderEffect, tokens::*};
