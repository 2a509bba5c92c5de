//! The HTTP interface to callers: authentication, routing, and the formats of responses.

mod caller_request;
mod proxied_reply;
mod reply;
mod router;
mod sse;

pub use {caller_request::*, proxied_reply::*, reply::*, router::*, sse::*};
