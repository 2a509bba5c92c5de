//! The HTTP interface to callers: authentication, routing, and the formats of responses.

mod call;
mod reply;
mod router;
mod sse;

pub use {call::*, reply::*, router::*, sse::*};
