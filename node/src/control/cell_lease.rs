use {
    crate::app::App,
    lentil_core::{clock::Time, ids::CellId, order::Lease},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, PoisonError},
    },
};

/// This instance's place as holder of one cell.
#[derive(Debug, Default)]
pub struct CellLease {
    lease: Mutex<Option<Lease>>,
    /// Held while an order is on its way.
    pub(super) order_lock: tokio::sync::Mutex<()>,
}

impl CellLease {
    /// Whether authority over the cell is certain at `now`.
    pub fn valid(&self, now: Time) -> bool {
        self.lease().is_some_and(|l| l.valid(now))
    }

    /// The lease, unless authority was given up.
    pub(super) fn lease(&self) -> Option<Lease> {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes or gives up authority.
    pub(super) fn set(&self, lease: Option<Lease>) {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = lease;
    }
}

/// This instance's places, by cell.
#[derive(Debug, Default)]
pub struct CellLeases {
    leases: Mutex<HashMap<CellId, Arc<CellLease>>>,
}

impl CellLeases {
    /// The place for a cell, whether it is taken or not.
    pub fn get(&self, cell: &CellId) -> Arc<CellLease> {
        let mut leases = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
        leases.entry(cell.clone()).or_default().clone()
    }
}

/// Gives up a cell for good; done once no order of this process is on its way.
pub async fn step_down(app: &App, cell: &CellId) -> bool {
    let cell_lease = app.cell_leases.get(cell);
    cell_lease.set(None);
    let _none_on_its_way = cell_lease.order_lock.lock().await;
    log::info!("control: stepped down from cell {cell}");
    true
}
