//! How instances know of each other and what they tell each other.

mod frame;
mod member;
mod member_view;
mod message;
mod replay;

pub use {frame::*, member::*, member_view::*, message::*, replay::*};

#[cfg(test)]
mod tests;
