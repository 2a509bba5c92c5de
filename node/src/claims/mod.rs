//! Claims of run-once requests, written to the store in batches.

mod claim_store;
mod committer;

pub use claim_store::*;
