//! Settings of one instance, read from its settings file.

mod hosted;
mod instance;

pub use {hosted::*, instance::*};

#[cfg(test)]
mod tests;
