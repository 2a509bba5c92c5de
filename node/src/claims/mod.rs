//! Claims written to the store in groups.

mod claim_store;
mod committer;

pub use claim_store::*;
