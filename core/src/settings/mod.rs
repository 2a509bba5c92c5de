//! Settings of one instance, read from its settings file.

mod api;
mod hosted;
mod instance;
mod prefix_rule;

pub use {api::*, hosted::*, instance::*, prefix_rule::*};

#[cfg(test)]
mod tests;
