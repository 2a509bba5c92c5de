//! HTTP server and client, based on hyper.

mod body;
mod body_budget;
mod client;
mod connections;
mod event_splitter;
mod event_stream;
mod hop_by_hop;
mod lingering;
mod observed_stream;
mod open_connection;
mod pool;
mod read_allowance;
mod server;
mod tracked_body;

pub use {
    body::*, body_budget::*, client::*, connections::*, event_splitter::*, event_stream::*,
    hop_by_hop::*, lingering::*, pool::*, read_allowance::*, server::*,
};
