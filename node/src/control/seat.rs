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
pub struct Seat {
    lease: Mutex<Option<Lease>>,
    /// Held while an order is on its way.
    pub(super) gate: tokio::sync::Mutex<()>,
}

impl Seat {
    /// Whether authority over the cell is certain at `now`.
    pub fn holds(&self, now: Time) -> bool {
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
pub struct Seats {
    seats: Mutex<HashMap<CellId, Arc<Seat>>>,
}

impl Seats {
    /// The place for a cell, whether it is taken or not.
    pub fn seat(&self, cell: &CellId) -> Arc<Seat> {
        let mut seats = self.seats.lock().unwrap_or_else(PoisonError::into_inner);
        seats.entry(cell.clone()).or_default().clone()
    }
}

/// Gives up a cell for good; done once no order of this process is on its way.
pub async fn step_down(app: &App, cell: &CellId) -> bool {
    let seat = app.seats.seat(cell);
    seat.set(None);
    let _none_on_its_way = seat.gate.lock().await;
    log::info!("control: stepped down from cell {cell}");
    true
}
