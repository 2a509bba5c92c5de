//! The HTTP interface to callers: authentication, routing, and the formats of responses.

mod caller_request;
mod reply;
mod router;
mod sse;

pub use {caller_request::*, reply::*, router::*, sse::*};
