//! How instances know of each other and what they tell each other.

mod frame;
mod member;
mod message;
mod replay;
mod view;

pub use {frame::*, member::*, message::*, replay::*, view::*};

#[cfg(test)]
mod tests;
