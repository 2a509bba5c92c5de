//! What all stand-ins share: a server that can be cut off and put back.

mod host;
mod reply;

pub use {host::*, reply::*};
