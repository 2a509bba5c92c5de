//! What all parts of one instance share.

mod fleet;
mod gate;
mod holders;
mod ids;
mod shared;
mod state;

pub use {fleet::*, gate::*, holders::*, ids::*, shared::*, state::*};
