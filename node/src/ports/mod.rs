//! Ports: traits and types for the external systems that an instance calls. The adapters implement
//! them.

mod announcement;
mod directory;
mod engine;
mod list;
mod service;
mod store;
mod target;
mod weights;

pub use {
    announcement::*, directory::*, engine::*, list::*, service::*, store::*, target::*, weights::*,
};
