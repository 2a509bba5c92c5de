//! The callers' side: HTTP in, HTTP out.

mod call;
mod reply;
mod route;
mod sse;

pub use {call::*, reply::*, route::*, sse::*};
