use {
    crate::app::App,
    lentil_core::{clock::Time, ids::CellId, order::Lease},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, PoisonError},
    },
};

/// This instance's lease on one cell; empty while it does not hold the cell.
#[derive(Debug, Default)]
pub struct CellLease {
    lease: Mutex<Option<Lease>>,
    /// Held while an order is being sent, so that stepping down can wait for its end.
    pub(crate) order_lock: tokio::sync::Mutex<()>,
    /// Held while the platform's API is being called, for the same purpose. A call takes longer than
    /// an order to an engine, and must not delay one.
    pub(super) api_lock: Arc<tokio::sync::Mutex<()>>,
}

impl CellLease {
    /// Returns whether this instance certainly still holds the cell at `now`.
    pub fn valid(&self, now: Time) -> bool {
        self.lease().is_some_and(|l| l.valid(now))
    }

    /// Returns the lease, or `None` if this instance does not hold the cell.
    pub(crate) fn lease(&self) -> Option<Lease> {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores a new or renewed lease, or gives the cell up with `None`.
    pub(super) fn set(&self, lease: Option<Lease>) {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = lease;
    }
}

/// This instance's leases, by cell.
#[derive(Debug, Default)]
pub struct CellLeases {
    leases: Mutex<HashMap<CellId, Arc<CellLease>>>,
}

impl CellLeases {
    /// Returns the entry for a cell, which is created empty at the first call.
    pub fn get(&self, cell: &CellId) -> Arc<CellLease> {
        let mut leases = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
        leases.entry(cell.clone()).or_default().clone()
    }
}

/// Gives up a cell and returns `true` once this process has no order to it in flight.
pub async fn step_down(app: &App, cell: &CellId) -> bool {
    let cell_lease = app.cell_leases.get(cell);
    cell_lease.set(None);
    let _no_order_in_flight = cell_lease.order_lock.lock().await;
    let _no_call_in_flight = cell_lease.api_lock.lock().await;
    log::info!("control: stepped down from cell {cell}");
    true
}
