//! What callers have done: generations and calls of plain services.

mod ask;
mod generate;
mod once;
mod service;

pub use {generate::*, service::*};
