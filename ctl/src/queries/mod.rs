//! Commands that only read state.

mod burn;
mod explain;
mod instances;
mod manifest;
mod page;

pub use {burn::*, explain::*, instances::*, manifest::*, page::*};
