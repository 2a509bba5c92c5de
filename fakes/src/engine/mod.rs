//! Stand-in of a model engine: batches, caches prefixes, honours priorities, resumes and cancels
//! runs, exports and imports KV cache, reports its load late, takes orders.

mod cache;
mod faults;
mod orders;
mod prefill;
mod runs;
mod serve;
mod tokens;

pub use {faults::*, serve::*, tokens::*};
