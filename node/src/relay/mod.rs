//! Requests that one instance serves for another, which reaches no target of their service.

mod links;
mod send;
mod serve;
mod wire;

pub use {links::RelayLinks, send::send_relayed, serve::serve_relayed};
