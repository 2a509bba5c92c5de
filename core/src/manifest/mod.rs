//! The operator's manifest: format, validation, changes between versions, and an index for
//! request-time look-ups.

mod access;
mod change;
mod check;
mod engine;
mod index;
mod key;
mod model;
mod problem;
mod record;
mod root;
mod service;

pub use {
    access::*, change::*, check::*, engine::*, index::*, key::*, model::*, problem::*, record::*,
    root::*, service::*,
};

#[cfg(test)]
mod tests;
