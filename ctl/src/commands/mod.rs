//! What changes state.

mod apply;

pub use apply::*;
