//! Whether this instance reaches the targets of a service, and the other instances that relay its
//! requests if it does not.

mod check;
mod reach_table;
mod relays;
mod service_reach;

pub use {check::*, reach_table::*, relays::*, service_reach::*};

#[cfg(test)]
mod tests;
