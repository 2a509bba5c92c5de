//! Which engines run a request.

mod choose;
mod cost;
mod home;
mod work;

pub use {choose::*, cost::*, home::*, work::*};

#[cfg(test)]
mod tests;
