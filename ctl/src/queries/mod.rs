//! What reads state and changes none.

mod burn;
mod explain;
mod instances;
mod manifest;
mod page;

pub use {burn::*, explain::*, instances::*, manifest::*, page::*};
