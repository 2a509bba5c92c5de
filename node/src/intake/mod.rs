//! Limits on what callers make the process hold: memory for the bodies of requests, from their arrival
//! to their answer, and connections to its addresses.

mod addresses;
mod descriptors;
mod discard;
mod head_limits;
mod request_body;
mod request_memory;
mod watch;

pub use {
    addresses::*, descriptors::*, discard::*, head_limits::*, request_body::*, request_memory::*,
    watch::*,
};
