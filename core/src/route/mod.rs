//! Which engines run a request.

mod choose;
mod cost;
mod share;
mod work;

pub use {choose::*, cost::*, share::*, work::*};

#[cfg(test)]
mod tests;
