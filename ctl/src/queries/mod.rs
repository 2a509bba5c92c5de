//! What reads state and changes none.

mod instances;
mod manifest;

pub use {instances::*, manifest::*};
