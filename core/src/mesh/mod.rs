//! Gossip between instances: membership, failure detection, messages and their authentication.

mod frame;
mod member;
mod member_view;
mod message;
mod replay;

pub use {frame::*, member::*, member_view::*, message::*, replay::*};

#[cfg(test)]
mod tests;
