//! Borders to outside systems. Each is one trait with one adapter.

mod directory;
mod engine;
mod list;
mod service;
mod store;
mod weights;

pub use {directory::*, engine::*, list::*, service::*, store::*, weights::*};
