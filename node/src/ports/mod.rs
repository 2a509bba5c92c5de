//! Ports: traits and types for the external systems that an instance calls. The adapters implement
//! them.

mod directory;
mod engine;
mod limit;
mod list;
mod service;
mod store;
mod weights;

pub use {directory::*, engine::*, limit::*, list::*, service::*, store::*, weights::*};
