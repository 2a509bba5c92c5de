//! The closed list of error kinds and the answer each one gets.

mod answer;
mod fault;
mod kind;

pub use {answer::*, fault::*, kind::*};

#[cfg(test)]
mod tests;
