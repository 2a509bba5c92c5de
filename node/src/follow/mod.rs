//! Follows outside state: the manifest, the instance list, the engines' loads and caches.

mod engines;
mod list;
mod manifest;
mod routes;
mod spread;
mod targets;

pub use {
    engines::follow_engines,
    list::follow_list,
    manifest::{follow_store, pull, read_manifest, MANIFEST},
    routes::follow_routes,
    targets::follow_targets,
};
