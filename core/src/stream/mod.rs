//! Token streams: validation of an engine's chunks, and stream ids with which any instance can
//! resume a stream.

mod stream_check;
mod ticket;

pub use {stream_check::*, ticket::*};

#[cfg(test)]
mod tests;
