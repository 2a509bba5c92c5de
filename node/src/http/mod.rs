//! HTTP on both sides, by hyper.

mod body;
mod client;
mod server;

pub use {body::*, client::*, server::*};
