use {
    crate::{
        app::App,
        ports::{StoreEntry, StoreError},
    },
    lentil_core::{
        ids::{Millis, ModelId, Revision, SoftwareVersion},
        limit::Backoff,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Store key of the services' software versions, so that they outlast the loss of all instances.
const SOFTWARE_KEY: &str = "software";
/// Duty of storing them, which the first instances by its hash have.
const STORE_DUTY: &str = "software";
/// Number of instances that store them.
const STORING_INSTANCES: usize = 2;
/// First pause after a failed call to the store.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Longest pause between failed calls to the store.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Time in which several changes are stored together.
const STORE_DELAY: Duration = Duration::from_millis(500);

/// A software version that targets of a service have or had.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct StoredVersion {
    service: ModelId,
    software: SoftwareVersion,
    /// Unix time at which its last target was gone; `None` while there is one.
    gone: Option<Millis>,
}

/// Reads the stored versions once, then stores them each time that those of a service have changed;
/// never returns.
pub async fn persist_software(app: Arc<App>) {
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    loop {
        match load(&app).await {
            Ok(()) => break,
            Err(error) => {
                log::debug!("software: stored versions not read: {error}");
                sleep(backoff.record_failure(rand::random())).await;
            }
        }
    }
    let mut latest = Vec::new();
    loop {
        sleep(STORE_DELAY).await;
        let versions = known_versions(&app);
        let changed = !same_versions(&versions, &latest);
        let rank = app.member_view().rank_for(STORE_DUTY, &app.settings.region);
        if changed && rank < STORING_INSTANCES {
            if let Err(error) = store(&app, &versions).await {
                log::debug!("software: versions not stored: {error}");
                sleep(backoff.record_failure(rand::random())).await;
                continue;
            }
            backoff.record_success();
            latest = versions;
        }
        app.targets_changed.notified().await;
    }
}

/// Adds the stored versions to the history. One whose targets left unseen counts as just gone, so that
/// a value some seconds old does no harm.
async fn load(app: &App) -> Result<(), StoreError> {
    let entry = app.ports.store.read_stale(SOFTWARE_KEY).await?;
    let stored = entry.as_ref().map(stored_versions).unwrap_or_default();
    let (now, unix) = (app.now(), app.clock.unix_time());
    let mut fleet = app.fleet();
    for version in stored {
        let age = version.gone.map_or(0, |gone| unix.0.saturating_sub(gone.0));
        let age = Duration::from_millis(age);
        fleet.software.record_past(version.service, version.software, age, now);
    }
    fleet.software.set_complete();
    Ok(())
}

/// Stores the versions, unless the same ones are stored already.
async fn store(app: &App, versions: &[StoredVersion]) -> Result<(), StoreError> {
    let entry = app.ports.store.read(SOFTWARE_KEY).await?;
    let stored = entry.as_ref().map(stored_versions).unwrap_or_default();
    if same_versions(versions, &stored) {
        return Ok(());
    }
    let value =
        serde_json::to_string(versions).map_err(|e| StoreError::Unavailable(e.to_string()))?;
    let base = entry.map_or(Revision(0), |e| e.revision);
    app.ports.store.swap(SOFTWARE_KEY, value, base, None).await.map(|_| ())
}

/// Returns whether the same versions are present and gone in both lists.
fn same_versions(a: &[StoredVersion], b: &[StoredVersion]) -> bool {
    let key = |v: &StoredVersion| (v.service.clone(), v.software.clone(), v.gone.is_some());
    let keys = |list: &[StoredVersion]| list.iter().map(key).collect::<BTreeSet<_>>();
    keys(a) == keys(b)
}

/// Returns the versions of present targets, and those of targets that are gone.
fn known_versions(app: &App) -> Vec<StoredVersion> {
    let (now, unix) = (app.now(), app.clock.unix_time());
    let fleet = app.fleet();
    let present: BTreeSet<(&ModelId, &SoftwareVersion)> =
        fleet.engines.iter().filter_map(|e| Some((&e.model, e.software.as_ref()?))).collect();
    let stored = |(service, software): (&ModelId, &SoftwareVersion), gone| StoredVersion {
        service: service.clone(),
        software: software.clone(),
        gone,
    };
    let gone = fleet.software.gone(now).filter(|(s, v, _)| !present.contains(&(*s, *v)));
    let gone = gone.map(|(service, software, age)| {
        let at = Millis(unix.0.saturating_sub(age.as_millis() as u64));
        stored((service, software), Some(at))
    });
    present.iter().map(|version| stored(*version, None)).chain(gone).collect()
}

/// Decodes the stored value; an invalid one counts as empty and is replaced.
fn stored_versions(entry: &StoreEntry) -> Vec<StoredVersion> {
    serde_json::from_str(&entry.value).unwrap_or_else(|error| {
        log::warn!("software: the stored versions are invalid: {error}");
        Vec::new()
    })
}
