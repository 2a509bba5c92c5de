//! Messages between instances: gossip by datagram, requests by connection.

mod crash_news;
mod frame_codec;
mod handlers;
mod heartbeat;
mod in_flight;
mod listen;
mod request;
mod send;

use send::broadcast;
pub(crate) use send::send_datagram;
pub use {
    crash_news::report_crash,
    frame_codec::FrameCodec,
    heartbeat::{announce_leave, contact, send_heartbeats},
    in_flight::report_in_flight,
    listen::{listen_datagrams, listen_requests},
    request::{request, RequestError},
};
