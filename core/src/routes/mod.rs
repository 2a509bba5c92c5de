//! Routes: which service runs a request, how often it may run, and how long it may take.

mod route;
mod service;
mod table;

pub use {route::*, service::*, table::*};

#[cfg(test)]
mod tests;
