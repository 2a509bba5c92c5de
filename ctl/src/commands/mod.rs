//! Commands that change state.

mod apply;

pub use apply::*;
