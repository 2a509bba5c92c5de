//! Claims: records that a run-once request was started, and how it ended.

mod bucket;
mod record;

pub use {bucket::*, record::*};

#[cfg(test)]
mod tests;
