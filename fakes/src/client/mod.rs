//! A caller: sends requests, reads answers, comes back as the answers say.

mod caller;
mod events;
mod patient;

pub use {caller::*, events::*, patient::*};
