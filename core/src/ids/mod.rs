//! Newtypes for names, identifiers, counts, rates and ranks.

mod amount;
mod name;
mod rank;

pub use {amount::*, name::*, rank::*};

#[cfg(test)]
mod tests;
