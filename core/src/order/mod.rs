//! Lease on a cell and the orders that its holder sends to the engines.
//!
//! Each cell has a ledger, which is one value in the store. An order is written to the ledger by
//! compare-and-swap before it is sent, and a new holder's first write takes the ledger over. An
//! order that is not open in the ledger can therefore no longer be sent, even by a process that
//! still believes it holds the cell.

mod entry;
mod lease;
mod ledger;
mod resolution;

pub use {entry::*, lease::*, ledger::*, resolution::*};

#[cfg(test)]
mod tests;
