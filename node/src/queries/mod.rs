//! Read-only requests: the list of models, health and metrics, status, and resumed streams.

mod models;
mod probe;
mod status;
mod stream;

pub use {models::*, probe::*, status::*, stream::*};
