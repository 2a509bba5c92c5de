//! Control of the engines: leases on cells, and the orders that their holder sends.

mod balance;
mod cell_lease;
mod change;
mod controller;
mod demand;
mod engine_specs;
mod evidence;
mod held_cell;
mod orders;
mod placement;
mod scaling;
mod store_keys;

pub(crate) use held_cell::HeldCell;
pub use {
    cell_lease::{step_down, CellLease, CellLeases},
    controller::run_controllers,
    demand::report_demand,
    store_keys::{holder_key, ledger_key},
};

#[cfg(test)]
mod tests;
