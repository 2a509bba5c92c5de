//! HTTP server and client, based on hyper.

mod body;
mod body_budget;
mod client;
mod limited_stream;
mod pool;
mod server;

pub use {body::*, body_budget::*, client::*, limited_stream::*, pool::*, server::*};
