//! A whole deployment of stand-ins with a manifest that names them.

mod build;
mod instance;
mod process;

pub use {build::*, instance::*, process::*};
