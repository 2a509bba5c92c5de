//! Settings of one entry instance.

mod hosted;
mod instance;

pub use {hosted::*, instance::*};

#[cfg(test)]
mod tests;
