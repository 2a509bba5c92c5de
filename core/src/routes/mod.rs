//! Routes of a hosted instance: the service that handles a request, whether and how often the
//! request may be retried, and its timeouts.

mod freshness;
mod route;
mod service;
mod table;
mod watch_verdict;
mod workspaces;

pub use {freshness::*, route::*, service::*, table::*, watch_verdict::*, workspaces::*};

#[cfg(test)]
mod freshness_tests;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod workspace_tests;
