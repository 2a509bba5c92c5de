//! Datagrams and connections between instances.

mod datagram;
mod handle;
mod post;
mod request;

pub(crate) use datagram::send;
pub use {
    datagram::{beat, farewell, greet, listen_datagrams},
    post::Post,
    request::{ask, listen_requests, AskError},
};
