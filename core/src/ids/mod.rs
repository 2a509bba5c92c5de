//! Newtypes for names, identifiers, counts, rates and ranks.

mod amount;
mod name;
mod rank;
mod software;

pub use {amount::*, name::*, rank::*, software::*};

#[cfg(test)]
mod tests;
