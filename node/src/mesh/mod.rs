//! Datagrams and connections between instances.

mod datagram;
mod handle;
mod post;
mod request;
mod sends;

pub(crate) use datagram::send;
pub use {
    datagram::{beat, farewell, greet, listen_datagrams},
    post::Post,
    request::{ask, listen_requests, AskError},
    sends::tell_sends,
};
