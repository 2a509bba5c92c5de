//! Authority over a cell and the orders to its engines.
//!
//! The ledger is one store value a cell. Every order is written to it by compare-and-swap before
//! it goes out, and a successor's first write takes the ledger over. An order that is not open in
//! the ledger can therefore not go out any more, whatever its sender believes.

mod entry;
mod lease;
mod ledger;
mod resolution;

pub use {entry::*, lease::*, ledger::*, resolution::*};

#[cfg(test)]
mod tests;
