//! Streams of tokens: which chunks may pass, and how any instance resumes one.

mod check;
mod ticket;

pub use {check::*, ticket::*};

#[cfg(test)]
mod tests;
