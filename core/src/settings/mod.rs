//! Settings of one instance, read from its settings file.

mod api;
mod hosted;
mod instance;

pub use {api::*, hosted::*, instance::*};

#[cfg(test)]
mod tests;
