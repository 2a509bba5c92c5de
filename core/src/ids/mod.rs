//! Newtypes for names, sizes and rates.

mod amount;
mod name;

pub use {amount::*, name::*};

#[cfg(test)]
mod tests;
