//! Client of the entry instances: sends requests, reads streams, retries and resumes.

mod caller;
mod events;
mod outcome;

pub use {caller::*, events::*, outcome::*};
