//! Follows outside state: the manifest, the instance list, the engines' loads and caches.

mod engines;
mod list;
mod manifest;

pub use {
    engines::follow_engines,
    list::follow_list,
    manifest::{follow_store, pull, read_manifest, MANIFEST},
};
