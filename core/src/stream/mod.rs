//! Streams of tokens: which chunks may pass, and how any instance resumes one.

mod stream_check;
mod ticket;

pub use {stream_check::*, ticket::*};

#[cfg(test)]
mod tests;
