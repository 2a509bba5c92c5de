//! Fake model engine: batches requests, caches prefixes, serves by priority, resumes and cancels
//! runs, exports and imports KV caches, reports its load with a lag, and applies orders.

mod cache;
mod faults;
mod queue;
mod runs;
mod server;
mod state;
mod tokens;

pub use {faults::*, server::*, state::OrderEffect, tokens::*};
