//! Claims: the record that a run-once request was begun, and how it ended.

mod bucket;
mod record;

pub use {bucket::*, record::*};

#[cfg(test)]
mod tests;
