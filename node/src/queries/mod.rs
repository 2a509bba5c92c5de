//! What reads state and changes none.

mod models;
mod probe;
mod status;
mod stream;

pub use {models::*, probe::*, status::*, stream::*};
