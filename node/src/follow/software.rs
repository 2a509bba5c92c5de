use {
    crate::{
        app::App,
        ports::{StoreEntry, StoreError},
    },
    lentil_core::{clock::Time, fleet::SoftwareRecord, ids::Revision, limit::Backoff},
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Store key of the services' software versions, so that they outlast the loss of all instances.
const SOFTWARE_KEY: &str = "software";
/// Duty of storing them, which the first instances by its hash have.
const STORE_DUTY: &str = "software";
/// Number of instances that store them.
const STORING_INSTANCES: usize = 2;
/// Time after which any instance stores a version that the storing ones have not.
const TAKEOVER_TIME: Duration = Duration::from_secs(3);
/// Interval between two reads of an instance that waits for the others to store a version.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// First pause after a failed call to the store.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Longest pause between failed calls to the store.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Time in which several changes are stored together.
const STORE_DELAY: Duration = Duration::from_millis(500);
/// The same, and the interval between reads, while no version is recorded and the instance waits.
const START_DELAY: Duration = Duration::from_millis(100);
/// Least interval between two reads for resumed streams.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for which a resumed stream waits for a read.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time without a look at the record.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// Keeps the stored record of the services' software versions and this instance's knowledge of it up
/// to date; never returns.
pub async fn persist_software(app: Arc<App>) {
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    // The versions of before the loss of all instances may be in a write of the last seconds.
    let mut latest = loop {
        match read(&app).await {
            Ok((record, _)) => break record,
            Err(error) => {
                log::debug!("software: stored versions not read: {error}");
                sleep(backoff.record_failure(rand::random())).await;
            }
        }
    };
    let mut missing_since = None;
    loop {
        let pause = match update(&app, &mut latest, &mut missing_since).await {
            Ok(pause) => {
                backoff.record_success();
                pause
            }
            Err(error) => {
                log::debug!("software: versions not stored: {error}");
                backoff.record_failure(rand::random())
            }
        };
        if timeout(pause, app.targets_changed.notified()).await.is_ok() {
            sleep(if has_recorded(&app) { STORE_DELAY } else { START_DELAY }).await;
        }
    }
}

/// Stores what differs from the `latest` record known here, or has this instance learn that another
/// one has stored it. Returns the time until the next update.
async fn update(
    app: &App,
    latest: &mut SoftwareRecord,
    missing_since: &mut Option<Time>,
) -> Result<Duration, StoreError> {
    let now = app.now();
    let (outdated, unrecorded, removal) = {
        let fleet = app.fleet();
        let next = fleet.next_software_record(latest, app.clock.unix_time(), now);
        let unrecorded = fleet.engines.iter().any(|e| !e.recorded);
        (next.is_some(), unrecorded, fleet.software.next_removal())
    };
    if !unrecorded {
        *missing_since = None;
    }
    let late = unrecorded && now - *missing_since.get_or_insert(now) >= TAKEOVER_TIME;
    if late || (outdated && is_storing(app, now)) {
        *latest = store(app).await?;
        return Ok(STORE_DELAY);
    }
    if !unrecorded {
        return Ok(removal.map_or(MAX_IDLE, |at| (at - now).clamp(CONFIRM_INTERVAL, MAX_IDLE)));
    }
    if let Some(entry) = app.ports.store.read_stale(SOFTWARE_KEY).await? {
        app.fleet().confirm_software(&decode(&entry).unwrap_or_default());
    }
    Ok(if has_recorded(app) { CONFIRM_INTERVAL } else { START_DELAY })
}

/// Returns whether streams may begin at a target.
fn has_recorded(app: &App) -> bool {
    app.fleet().engines.iter().any(|e| e.recorded)
}

/// Returns whether this instance is one of those that store the record.
fn is_storing(app: &App, now: Time) -> bool {
    let view = app.member_view();
    let rank = view.rank_for(STORE_DUTY, &app.settings.region);
    view.fleet_size(now).is_some() && rank < STORING_INSTANCES
}

/// Has this instance know all versions that were recorded before `since`; many callers share a read.
///
/// # Errors
/// If the store does not answer in time.
pub async fn refresh_software(app: &App, since: Time) -> Result<(), StoreError> {
    let mut latest = app.software_read.lock().await;
    if *latest >= since {
        return Ok(());
    }
    sleep((*latest + MIN_READ_INTERVAL) - app.now()).await;
    let began = app.now();
    let result = timeout(REFRESH_TIMEOUT, read(app)).await;
    result.map_err(|_| StoreError::Unavailable("no answer in time".into()))??;
    *latest = began;
    Ok(())
}

/// Reads the record and takes it over. Returns it with its revision.
async fn read(app: &App) -> Result<(SoftwareRecord, Revision), StoreError> {
    let entry = app.ports.store.read(SOFTWARE_KEY).await?;
    let record = entry.as_ref().map_or(Some(SoftwareRecord::default()), decode);
    let (mut fleet, now) = (app.fleet(), app.now());
    match &record {
        Some(record) => fleet.apply_software_record(record, now),
        None => fleet.software.record_lost_past(now),
    }
    Ok((record.unwrap_or_default(), entry.map_or(Revision(0), |e| e.revision)))
}

/// Merges what this instance knows into the stored record. Returns the result.
async fn store(app: &App) -> Result<SoftwareRecord, StoreError> {
    let (stored, revision) = read(app).await?;
    let next = app.fleet().next_software_record(&stored, app.clock.unix_time(), app.now());
    let Some(next) = next else { return Ok(stored) };
    let value = serde_json::to_string(&next).map_err(|e| StoreError::Unavailable(e.to_string()))?;
    app.ports.store.swap(SOFTWARE_KEY, value, revision, None).await?;
    app.fleet().apply_software_record(&next, app.now());
    log::info!("software: stored versions={}", next.versions().len());
    Ok(next)
}

/// Decodes the stored record; `None` if it is invalid.
fn decode(entry: &StoreEntry) -> Option<SoftwareRecord> {
    let record = serde_json::from_str::<SoftwareRecord>(&entry.value);
    let record = record.inspect_err(|error| {
        log::warn!("software: the stored versions are invalid, and are replaced: {error}");
    });
    Some(record.ok()?.versions().iter().cloned().collect())
}
