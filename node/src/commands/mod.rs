//! What callers have done: generations and calls of plain services.

mod ask;
mod generate;
mod once;
mod pass_on;
mod service;

pub use {generate::*, pass_on::*, service::*};
