//! What is known of the engines: their load, their caches and what was sent to them since.

mod cache;
mod engine;
mod load;
mod prefix;

pub use {cache::*, engine::*, load::*, prefix::*};

#[cfg(test)]
mod tests;
