//! HTTP adapters: implementations of the ports by the protocols in docs/INTERFACES.md.

mod engine;
mod list;
mod service;
mod store;
mod weights;

pub use {engine::*, list::*, service::*, store::*, weights::*};
