//! Claims written to the store in groups.

mod book;
mod committer;

pub use book::*;
