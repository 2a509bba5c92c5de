//! Adapters of the ports to the protocols in docs/INTERFACES.md, all over HTTP.

mod engine;
mod list;
mod service;
mod store;
mod weights;

pub use {engine::*, list::*, service::*, store::*, weights::*};
