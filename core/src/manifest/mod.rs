//! The operators' manifest: its format, its check, and what nodes look up in it.

mod change;
mod check;
mod engine;
mod index;
mod key;
mod model;
mod people;
mod problem;
mod record;
mod root;
mod service;

pub use {
    change::*, check::*, engine::*, index::*, key::*, model::*, people::*, problem::*, record::*,
    root::*, service::*,
};

#[cfg(test)]
mod tests;
