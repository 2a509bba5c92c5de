//! A whole deployment of stand-ins with a manifest that names them.

mod build;
mod instance;

pub use {build::*, instance::*};
