//! Messages between instances: gossip by datagram, requests by connection.

mod crash_news;
mod datagram;
mod frame_codec;
mod handlers;
mod in_flight;
mod request;

pub(crate) use datagram::send_datagram;
pub use {
    crash_news::report_crash,
    datagram::{announce_leave, contact, listen_datagrams, send_heartbeats},
    frame_codec::FrameCodec,
    in_flight::report_in_flight,
    request::{listen_requests, request, RequestError},
};
