//! HTTP server and client, based on hyper.

mod body;
mod client;
mod pool;
mod server;

pub use {body::*, client::*, pool::*, server::*};
