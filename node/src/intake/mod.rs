//! Memory for the bodies of requests, from their arrival to their answer.

mod descriptors;
mod discard;
mod request_body;
mod request_memory;
mod watch;

pub use {descriptors::*, discard::*, request_body::*, request_memory::*, watch::*};
