//! Memory for the bodies of requests, from their arrival to their answer.

mod descriptors;
mod request_body;
mod request_memory;
mod watch;

pub use {descriptors::*, request_body::*, request_memory::*, watch::*};
