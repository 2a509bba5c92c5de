//! Points in time, always passed in.

mod time;

pub use time::*;
