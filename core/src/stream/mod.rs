//! Token streams: validation of an engine's chunks, stream ids with which any instance can resume a
//! stream, and the software version at which it may go on.

mod origin;
mod origin_search;
mod stream_check;
mod ticket;

pub use {origin::*, origin_search::*, stream_check::*, ticket::*};

#[cfg(test)]
mod tests;
