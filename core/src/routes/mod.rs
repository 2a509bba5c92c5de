//! Routes of a hosted instance: the service that handles a request, whether and how often the
//! request may be retried, and its timeouts.

mod route;
mod service;
mod table;

pub use {route::*, service::*, table::*};

#[cfg(test)]
mod tests;
