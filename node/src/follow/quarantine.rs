use {
    crate::{
        app::App,
        ports::{StoreEntry, StoreError},
    },
    lentil_core::{
        ids::{Fingerprint, Millis, PrefixHash, Revision},
        limit::Backoff,
        poison::{Crash, Quarantine, Subject},
    },
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Store key of the quarantined requests, so that they outlast the loss of all instances.
const QUARANTINE_KEY: &str = "quarantine";
/// Most crashes stored; the value stays far below the 1 MB that the store accepts.
const MAX_STORED_CRASHES: usize = 2_000;
/// First pause after a failed call to the store.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Longest pause between failed calls to the store.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// A crash by which a request or a part of prompts is in quarantine, as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StoredCrash {
    /// Number of the request or part.
    fingerprint: Fingerprint,
    /// Whether it is a part of prompts.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    part: bool,
    crash: Crash,
    /// Unix time of the crash.
    at: Millis,
}

impl StoredCrash {
    fn new(subject: Subject, crash: Crash, at: Millis) -> Self {
        let part = matches!(subject, Subject::Part(_));
        Self { fingerprint: Fingerprint(subject.number()), part, crash, at }
    }

    fn subject(&self) -> Subject {
        match self.part {
            true => PrefixHash(self.fingerprint.0).into(),
            false => self.fingerprint.into(),
        }
    }
}

/// Reads the stored quarantine once, then stores it each time that this instance has found a
/// request to quarantine; never returns.
pub async fn persist_quarantine(app: Arc<App>) {
    loop {
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        while let Err(error) = merge_and_store(&app).await {
            log::debug!("poison: quarantine not stored: {error}");
            sleep(backoff.record_failure(rand::random())).await;
        }
        app.quarantine_found.notified().await;
    }
}

/// Adds the stored quarantine to the own one, and stores the result if it has others.
async fn merge_and_store(app: &App) -> Result<(), StoreError> {
    // With nothing to store, an older value does: instances reconcile what is newer.
    let nothing = app.quarantine().digest(app.now()).is_empty();
    let store = &app.ports.store;
    let entry = match nothing {
        true => store.read_stale(QUARANTINE_KEY).await?,
        false => store.read(QUARANTINE_KEY).await?,
    };
    let stored = entry.as_ref().map(stored_crashes).unwrap_or_default();
    let (now, unix) = (app.now(), app.clock.unix_time());
    let crashes = {
        let mut quarantine = app.quarantine();
        let mut known = Quarantine::default();
        for stored in &stored {
            let age = Duration::from_millis(unix.0.saturating_sub(stored.at.0));
            let (subject, crash) = (stored.subject(), &stored.crash);
            known.record_past_crash(subject, crash.clone(), age, now);
            if quarantine.record_past_crash(subject, crash.clone(), age, now) {
                log::info!("poison: target={} verdict=stored {subject}", crash.engine);
            }
        }
        if quarantine.is_covered_by(&known, now) {
            return Ok(());
        }
        let mut crashes: Vec<StoredCrash> = quarantine
            .crashes(now)
            .map(|(subject, crash, age)| {
                let at = Millis(unix.0.saturating_sub(age.as_millis() as u64));
                StoredCrash::new(subject, crash.clone(), at)
            })
            .collect();
        crashes.sort_by_key(|c| std::cmp::Reverse((c.at, c.fingerprint)));
        crashes.truncate(MAX_STORED_CRASHES);
        crashes
    };
    let value =
        serde_json::to_string(&crashes).map_err(|e| StoreError::Unavailable(e.to_string()))?;
    let base = entry.map_or(Revision(0), |e| e.revision);
    app.ports.store.swap(QUARANTINE_KEY, value, base, None).await.map(|_| ())
}

/// Decodes the stored value; an invalid one counts as empty and is replaced.
fn stored_crashes(entry: &StoreEntry) -> Vec<StoredCrash> {
    serde_json::from_str(&entry.value).unwrap_or_else(|error| {
        log::warn!("poison: the stored quarantine is invalid: {error}");
        Vec::new()
    })
}
