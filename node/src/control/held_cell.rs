use {
    super::{
        cell_lease::CellLease,
        store_keys::{holder_key, ledger_key, HolderRecord},
    },
    crate::{
        app::{random_id, App},
        ports::{StoreEntry, StoreError},
    },
    lentil_core::{
        ids::{CellId, Fence, LeaseId, Revision},
        order::{Lease, Ledger},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Delay before a ledger write whose reply was lost is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A cell that this instance holds, with a copy of its ledger in the store.
pub(crate) struct HeldCell {
    pub cell: CellId,
    pub cell_lease: Arc<CellLease>,
    pub ledger: Ledger,
    /// Number of the take-over, which identifies this holder in calls to the platform's API. The
    /// ledger's number grows with each order, so that of the next take-over is greater.
    pub fence: Fence,
    revision: Revision,
}

impl HeldCell {
    /// Tries to acquire a cell; returns `None` if another instance holds it.
    pub(super) async fn acquire(app: &App, cell: &CellId) -> Result<Option<Self>, StoreError> {
        let settings = &app.settings.control;
        let (ttl, margin) = (settings.lease.duration(), settings.margin.duration());
        Self::acquire_for(app, cell, ttl, margin).await
    }

    /// Tries to acquire a cell by a lease with this time to live and margin; returns `None` if
    /// another instance holds it.
    pub(crate) async fn acquire_for(
        app: &App,
        cell: &CellId,
        ttl: Duration,
        margin: Duration,
    ) -> Result<Option<Self>, StoreError> {
        let store = &app.ports.store;
        count_store_call(app, "holder");
        if store.read(&holder_key(cell)).await?.is_some() {
            return Ok(None);
        }
        let sent = app.now();
        count_store_call(app, "lease");
        let id = store.grant(ttl).await?;
        if !write_holder(app, cell, id).await? {
            // If the revocation fails, the lease expires by itself.
            let _ = store.revoke(id).await;
            return Ok(None);
        }
        let lease = Lease { id, sent, ttl, margin };
        let cell_lease = app.cell_leases.get(cell);
        while lease.valid(app.now()) {
            let old = read_ledger(app, cell).await?;
            let (old, base) = old.map_or((None, Revision(0)), |(l, r)| (Some(l), r));
            let ledger = Ledger::take_over(old.as_ref(), app.identity.clone(), random_id("w"));
            let mut held = Self {
                cell: cell.clone(),
                cell_lease: cell_lease.clone(),
                fence: ledger.number,
                ledger,
                revision: base,
            };
            cell_lease.set(Some(lease));
            match held.save(app).await {
                Ok(()) => return Ok(Some(held)),
                Err(StoreError::Conflict(_)) => continue,
                Err(error) => {
                    cell_lease.set(None);
                    return Err(error);
                }
            }
        }
        cell_lease.set(None);
        Ok(None)
    }

    /// Writes the ledger, and resolves the result of a write whose reply was lost.
    ///
    /// The same value is written until its result is certain: an abandoned write could take effect
    /// later and record an order that was never sent.
    pub(super) async fn save(&mut self, app: &App) -> Result<(), StoreError> {
        self.ledger.writer = random_id("w");
        let key = ledger_key(&self.cell);
        let value = serde_json::to_string(&self.ledger)
            .map_err(|e| StoreError::Unavailable(e.to_string()))?;
        let mut uncertain = false;
        while self.cell_lease.valid(app.now()) {
            count_store_call(app, "ledger");
            match app.ports.store.swap(&key, value.clone(), self.revision, None).await {
                Ok(revision) => {
                    self.revision = revision;
                    return Ok(());
                }
                Err(StoreError::Conflict(at)) => return self.resolve_conflict(app, at).await,
                Err(StoreError::Unknown(_)) => uncertain = true,
                Err(error) if !uncertain => return Err(error),
                Err(_) => {}
            }
            sleep(WRITE_RETRY_DELAY).await;
        }
        Err(StoreError::Unknown("the lease ended before the ledger write was confirmed".into()))
    }

    /// Treats a conflict as success if the stored value carries this write's own token.
    async fn resolve_conflict(&mut self, app: &App, at: Revision) -> Result<(), StoreError> {
        let stored = read_ledger(app, &self.cell).await?;
        match stored {
            Some((ledger, revision)) if ledger.writer == self.ledger.writer => {
                self.revision = revision;
                Ok(())
            }
            _ => Err(StoreError::Conflict(at)),
        }
    }

    /// Renews the lease when it is due.
    ///
    /// After an error the cell stays held until the lease expires, unless the store no longer knows
    /// the lease.
    pub(crate) async fn renew(&self, app: &App) {
        let Some(mut lease) = self.cell_lease.lease().filter(|l| l.renewal_due(app.now())) else {
            return;
        };
        let sent = app.now();
        count_store_call(app, "renew");
        match app.ports.store.renew(lease.id).await {
            Ok(()) => {
                lease.record_renewal(sent);
                // The cell may have been given up while the renewal was in flight.
                if self.cell_lease.lease().is_some_and(|l| l.id == lease.id) {
                    self.cell_lease.set(Some(lease));
                }
            }
            Err(StoreError::NoLease) => self.cell_lease.set(None),
            Err(error) => {
                log::debug!("control: renewing the lease of cell {} failed: {error}", self.cell);
            }
        }
    }

    /// Gives up the cell and revokes its lease, so that another instance can acquire it at once.
    pub(crate) async fn release(&self, app: &App) {
        let Some(lease) = self.cell_lease.lease() else { return };
        self.cell_lease.set(None);
        let _no_order_in_flight = self.cell_lease.order_lock.lock().await;
        let _no_call_in_flight = self.cell_lease.api_lock.lock().await;
        count_store_call(app, "lease");
        let _ = app.ports.store.revoke(lease.id).await;
        log::info!("control: released cell {}", self.cell);
    }
}

pub(super) fn count_store_call(app: &App, call: &str) {
    app.metrics.store_calls.with_label_values(&[call]).inc();
}

/// Writes the holder key under a lease; returns whether this instance is the holder now.
async fn write_holder(app: &App, cell: &CellId, lease: LeaseId) -> Result<bool, StoreError> {
    let record = HolderRecord { writer: random_id("w"), holder: app.identity.clone() };
    let key = holder_key(cell);
    let value =
        serde_json::to_string(&record).map_err(|e| StoreError::Unavailable(e.to_string()))?;
    count_store_call(app, "holder");
    match app.ports.store.swap(&key, value, Revision(0), Some(lease)).await {
        Ok(_) => Ok(true),
        Err(StoreError::Conflict(_) | StoreError::NoLease) => Ok(false),
        Err(StoreError::Unknown(_)) => {
            let stored = app.ports.store.read(&key).await?;
            let mine = |e: StoreEntry| {
                serde_json::from_str::<HolderRecord>(&e.value)
                    .is_ok_and(|r| r.writer == record.writer)
            };
            Ok(stored.is_some_and(mine))
        }
        Err(error) => Err(error),
    }
}

async fn read_ledger(app: &App, cell: &CellId) -> Result<Option<(Ledger, Revision)>, StoreError> {
    let key = ledger_key(cell);
    count_store_call(app, "ledger");
    let Some(entry) = app.ports.store.read(&key).await? else { return Ok(None) };
    let ledger = serde_json::from_str(&entry.value)
        .map_err(|e| StoreError::Unavailable(format!("key {key:?}: {e}")))?;
    Ok(Some((ledger, entry.revision)))
}
