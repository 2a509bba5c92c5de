//! Borders to outside systems. Each is one trait with one adapter.

mod engine;
mod list;
mod service;
mod store;
mod weights;

pub use {engine::*, list::*, service::*, store::*, weights::*};
