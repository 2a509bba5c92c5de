//! Follows outside state: the manifest, the platform's list, routes, targets, and the load and the
//! cache events of engines.

mod engines;
mod list;
mod manifest;
mod quarantine;
mod relay;
mod routes;
mod software;
mod targets;

pub use {
    engines::follow_engines,
    list::follow_list,
    manifest::{follow_manifest, pull_manifest, read_manifest, MANIFEST_KEY},
    quarantine::persist_quarantine,
    routes::follow_routes,
    software::{persist_software, refresh_software},
    targets::follow_targets,
};

#[cfg(test)]
mod tests;
