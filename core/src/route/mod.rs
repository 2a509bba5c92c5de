//! Which engines run a request.

mod choose;
mod cost;
mod prefix_copies;
mod work;

pub use {choose::*, cost::*, prefix_copies::*, work::*};

#[cfg(test)]
mod tests;
