//! Reads the lines that instances log.

mod line;
mod source;

pub use {line::*, source::*};
