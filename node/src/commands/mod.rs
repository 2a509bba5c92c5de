//! Requests that run something: generations, proxied requests and calls of plain services.

mod claimed_run;
mod generate;
mod generation_request;
mod proxy;
mod relayed;
mod service;
mod workspace;

pub use {generate::*, proxy::*, relayed::*, service::*, workspace::*};
