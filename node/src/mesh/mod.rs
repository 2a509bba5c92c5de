//! Messages between instances: gossip by datagram, requests by connection.

mod ask;
mod crash_news;
mod extensions;
mod frame_codec;
mod handlers;
mod heartbeat;
mod in_flight;
mod limits;
mod listen;
mod peer_versions;
mod refusals;
mod request;
mod routes;
mod send;
mod streams;
mod target_checks;
mod target_pace;
mod trials;
mod usage_counts;
mod workspace_use;

pub(crate) use ask::ask;
use send::broadcast;
pub(crate) use send::send_datagram;
pub(crate) use usage_counts::{broadcast_usage, send_usage};
pub use {
    ask::Questions,
    crash_news::{clear_blame, report_crash, ReportedBy},
    extensions::{broadcast_extension, send_extension},
    frame_codec::{FrameCodec, Received},
    heartbeat::{announce_leave, contact, send_heartbeats},
    in_flight::report_in_flight,
    limits::{announce_limits, request_permit},
    listen::{listen_datagrams, listen_requests},
    peer_versions::PeerVersions,
    refusals::Refusals,
    request::{request, RequestError},
    routes::{announce_routes, compare_routes, is_route_watcher},
    streams::{announce_stream, hand_over_streams, search_origin, share_stream_origins},
    target_checks::is_reached_by_others,
    trials::request_trial,
    workspace_use::report_workspace_use,
};
