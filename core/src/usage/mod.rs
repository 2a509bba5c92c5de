//! Usage of the workspaces by windows of time.

mod window;

pub use window::*;
