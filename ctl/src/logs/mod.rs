//! Parses the logs of instances.

mod line;
mod source;

pub use {line::*, source::*};
