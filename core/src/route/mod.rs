//! Which engines run a request.

mod choose;
mod cost;
mod work;

pub use {choose::*, cost::*, work::*};

#[cfg(test)]
mod tests;
