//! HTTP server and client, based on hyper.

mod body;
mod body_budget;
mod caller_stream;
mod client;
mod connections;
mod event_splitter;
mod event_stream;
mod hop_by_hop;
mod limited_stream;
mod lingering;
mod pool;
mod server;
mod tracked_body;

pub use {
    body::*, body_budget::*, client::*, connections::*, event_splitter::*, event_stream::*,
    hop_by_hop::*, limited_stream::*, lingering::*, pool::*, server::*,
};
