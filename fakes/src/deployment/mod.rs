//! A deployment of fakes, a manifest that names them, and entry instances in front of them.

mod instance;
mod process;
mod setup;

pub use {instance::*, process::*, setup::*};
