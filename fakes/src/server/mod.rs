//! HTTP server on loopback that all fakes share; tests can abort it and restart it.

mod loopback;
mod request;
mod response;

pub use {loopback::*, request::*, response::*};
