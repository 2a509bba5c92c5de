//! Gossip between instances: membership, failure detection, messages and their authentication.

mod extension;
mod extension_frame;
mod frame;
mod member;
mod member_view;
mod message;
mod replay;
mod version_range;

pub use {
    extension::*, extension_frame::*, frame::*, member::*, member_view::*, message::*, replay::*,
    version_range::*,
};

#[cfg(test)]
mod tests;
