//! What is known of the engines: their load, their caches and what was sent to them since.

mod cache;
mod engine;
mod in_flight;
mod load;
mod prefix;
mod prefix_locations;
mod queued_tokens;
mod registration;
mod running_mean;

pub use {
    cache::*, engine::*, in_flight::*, load::*, prefix::*, prefix_locations::*, queued_tokens::*,
    registration::*, running_mean::*,
};

#[cfg(test)]
mod tests;
