//! What is known of the engines: their load, their caches and what was sent to them since.

mod cache;
mod engine;
mod learned;
mod load;
mod placed;
mod prefix;
mod queued;
mod registration;
mod share;

pub use {
    cache::*, engine::*, learned::*, load::*, placed::*, prefix::*, queued::*, registration::*,
    share::*,
};

#[cfg(test)]
mod tests;
