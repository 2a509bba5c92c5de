//! Errors to callers: the closed list of error kinds and the HTTP answer of each.

mod answer;
mod fault;
mod kind;

pub use {answer::*, fault::*, kind::*};

#[cfg(test)]
mod tests;
