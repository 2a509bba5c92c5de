//! HTTP on both sides, by hyper.

mod body;
mod client;
mod pool;
mod server;

pub use {body::*, client::*, pool::*, server::*};
