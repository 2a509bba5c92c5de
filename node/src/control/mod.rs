//! Holds cells and orders their engines.

mod balance;
mod cell;
mod change;
mod demand;
mod hold;
mod keys;
mod orders;
mod place;
mod proof;
mod seat;
mod specs;

pub use {
    cell::control,
    demand::report_demand,
    keys::{holder_key, ledger_key},
    seat::{step_down, Seat, Seats},
};
