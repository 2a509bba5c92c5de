use {
    crate::{
        app::App,
        control::CellLease,
        ports::{StoreEntry, StoreError},
    },
    lentil_core::{clock::Time, ids::Revision, limit::Backoff, usage::UsageRecord},
    std::time::Duration,
    thiserror::Error,
    tokio::time::sleep,
};

/// Store key of the latest reports.
const RECORD_KEY: &str = "duties/usage";
/// Pause before a write whose outcome is unknown is repeated.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// First pause after a failed call to the store.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Longest pause after failed calls to the store.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// An error of the stored record.
#[derive(Debug, Error)]
pub(super) enum RecordError {
    /// A call to the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The stored value can't be decoded, so it is not known which reports are fixed.
    #[error("key {RECORD_KEY:?}: {0}")]
    Invalid(#[from] serde_json::Error),
}

/// How a write ended.
pub(super) enum WriteEnd {
    /// The record is stored.
    Written,
    /// Another value is stored, which was read.
    Conflict(Option<UsageRecord>),
}

/// The stored record, as far as the holder of the duty knows it.
pub(super) struct RecordStore {
    revision: Option<Revision>,
    next_call: Time,
    backoff: Backoff,
}

impl RecordStore {
    /// Creates the state before the record was read.
    pub(super) fn new(now: Time) -> Self {
        let backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        Self { revision: None, next_call: now, backoff }
    }

    /// Returns whether the record was read.
    pub(super) fn is_read(&self) -> bool {
        self.revision.is_some()
    }

    /// Returns whether a call may be made now, or has to wait since earlier ones failed.
    pub(super) fn may_call(&self, now: Time) -> bool {
        now >= self.next_call
    }

    /// Records how a call ended; after a failure there is a pause.
    pub(super) fn record_call<T>(&mut self, result: &Result<T, RecordError>, now: Time) {
        match result {
            Ok(_) => self.backoff.record_success(),
            Err(_) => self.next_call = now + self.backoff.record_failure(rand::random()),
        }
    }

    /// Reads the record; `None` if there is none.
    pub(super) async fn read(&mut self, app: &App) -> Result<Option<UsageRecord>, RecordError> {
        app.metrics.store_calls.with_label_values(&["usage"]).inc();
        let entry = app.ports.store.read(RECORD_KEY).await?;
        let record = entry.as_ref().map(decode).transpose()?;
        self.revision = Some(entry.map_or(Revision(0), |e| e.revision));
        Ok(record)
    }

    /// Writes the record if the stored one is still the one that was read or written last.
    ///
    /// A write whose outcome is unknown is repeated with the same value until the outcome is
    /// certain, or the lease has ended: it may take effect later, and reports that differ from it
    /// must not be sent.
    pub(super) async fn write(
        &mut self,
        app: &App,
        lease: &CellLease,
        record: &UsageRecord,
    ) -> Result<WriteEnd, RecordError> {
        let value = serde_json::to_string(record)?;
        let base = self.revision.unwrap_or_default();
        let mut uncertain = false;
        while lease.valid(app.now()) {
            app.metrics.store_calls.with_label_values(&["usage"]).inc();
            match app.ports.store.swap(RECORD_KEY, value.clone(), base, None).await {
                Ok(revision) => {
                    self.revision = Some(revision);
                    return Ok(WriteEnd::Written);
                }
                Err(StoreError::Conflict(_)) => {
                    let stored = self.read(app).await?;
                    let own = stored.as_ref().is_some_and(|r| r.writer == record.writer);
                    return Ok(if own { WriteEnd::Written } else { WriteEnd::Conflict(stored) });
                }
                Err(StoreError::Unknown(_)) => uncertain = true,
                Err(error) if !uncertain => return Err(error.into()),
                Err(_) => {}
            }
            sleep(WRITE_RETRY_DELAY).await;
        }
        let text = "the lease ended before the write was confirmed";
        Err(StoreError::Unknown(text.into()).into())
    }
}

fn decode(entry: &StoreEntry) -> Result<UsageRecord, serde_json::Error> {
    serde_json::from_str(&entry.value)
}
