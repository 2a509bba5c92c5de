//! Settings of one entry instance.

mod instance;

pub use instance::*;

#[cfg(test)]
mod tests;
