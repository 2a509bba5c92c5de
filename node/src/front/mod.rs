//! The callers' side: HTTP in, HTTP out.

mod call;
mod reply;
mod router;
mod sse;

pub use {call::*, reply::*, router::*, sse::*};
