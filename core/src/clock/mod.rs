//! Points in time. Functions take the present time as an argument instead of reading a clock.

mod time;

pub use time::*;
