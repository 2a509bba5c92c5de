//! Limits on what callers make the process hold: memory for the bodies of requests, from their arrival
//! to their answer, and connections to its addresses.

mod addresses;
mod buffer;
mod collector;
mod descriptors;
mod discard;
mod head_limits;
mod intake_error;
mod request_body;
mod request_memory;
mod watch;

pub use {
    addresses::*, buffer::HeldMemory, descriptors::*, discard::*, head_limits::*, intake_error::*,
    request_body::*, request_memory::*, watch::*,
};
