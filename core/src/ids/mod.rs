//! Newtypes for names, sizes and rates.

mod amount;
mod name;
mod rank;

pub use {amount::*, name::*, rank::*};

#[cfg(test)]
mod tests;
