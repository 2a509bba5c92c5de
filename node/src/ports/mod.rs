//! Ports: traits and types for the external systems that an instance calls. The adapters implement
//! them.

mod announcement;
mod directory;
mod engine;
mod list;
mod platform_api;
mod service;
mod store;
mod target;
mod weights;
mod workspace_headers;

pub use {
    announcement::*, directory::*, engine::*, list::*, platform_api::*, service::*, store::*,
    target::*, weights::*, workspace_headers::*,
};
