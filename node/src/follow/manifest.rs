use {
    crate::{
        app::App,
        mesh,
        ports::{StoreEntry, StoreError},
    },
    lentil_core::{
        ids::Revision,
        manifest::{patch, Edit, ManifestRecord},
        mesh::{Message, PullReply},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Key of the manifest in the store.
pub const MANIFEST_KEY: &str = "manifest";
/// Number of instances of a region that watch the store; the others pull the manifest from them.
const REGION_WATCHERS: usize = 2;
/// Longest wait of one watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed call, and between checks whether this instance is a watcher.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Watches the manifest in the store while this instance is one of its region's watchers, or has no
/// manifest yet.
pub async fn follow_manifest(app: Arc<App>) {
    loop {
        let watching =
            app.member_view().rank_for(MANIFEST_KEY, &app.settings.region) < REGION_WATCHERS;
        if !watching && app.revision().0 > 0 {
            sleep(RETRY_DELAY).await;
            continue;
        }
        let calls = app.metrics.store_calls.with_label_values(&["watch"]);
        calls.inc();
        match app.ports.store.watch(MANIFEST_KEY, app.revision(), WATCH_TIMEOUT).await {
            Ok(Some(entry)) => apply_entry(&app, &entry),
            Ok(None) => sleep(RETRY_DELAY).await,
            Err(error) => {
                log::debug!("config: watch failed: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn apply_entry(app: &App, entry: &StoreEntry) {
    if entry.revision <= app.revision() {
        return;
    }
    match serde_json::from_str::<ManifestRecord>(&entry.value) {
        Err(error) => log::error!("config: manifest {} can't be read: {error}", entry.revision),
        Ok(record) => activate(app, entry.revision, record, "store"),
    }
}

fn activate(app: &App, revision: Revision, record: ManifestRecord, source: &str) {
    let problems = record.manifest.check();
    if let Some(problem) = problems.first() {
        log::error!("config: manifest {revision} is rejected: {problem}");
        return;
    }
    if app.activate_manifest(revision, record) {
        log::info!("config: manifest {revision} is active, received from the {source}");
    }
}

/// Pulls the manifest from an instance that has a newer revision, and activates it.
pub async fn pull_manifest(app: &Arc<App>, from: SocketAddr) {
    let have = app.revision();
    let answer = mesh::request(app, from, None, Message::Pull { have }).await;
    match answer {
        Ok(Message::PullReply(PullReply::Full { revision, record })) => {
            activate(app, revision, *record, "mesh");
        }
        Ok(Message::PullReply(PullReply::Edits { revision, edits })) => {
            apply_edits(app, have, revision, edits);
        }
        Ok(_) => {}
        Err(error) => log::debug!("config: pull from {from} failed: {error}"),
    }
}

fn apply_edits(app: &App, have: Revision, revision: Revision, edits: Vec<Edit>) {
    let Some(active) = app.active_manifest().filter(|active| active.index.revision == have) else {
        return;
    };
    let mut record = (*active.record).clone();
    for edit in edits {
        match patch(&record.manifest, &edit.changes) {
            Ok(manifest) => record.manifest = manifest,
            Err(error) => {
                return log::warn!(
                    "config: edits up to revision {revision} can't be applied: {error}"
                )
            }
        }
        record.writer = edit.writer.clone();
        record.recent.push_back(edit);
    }
    while record.recent.len() > lentil_core::manifest::MAX_RECENT_EDITS {
        record.recent.pop_front();
    }
    activate(app, revision, record, "mesh");
}

/// Reads the manifest once, for command-line tools; `None` if the store has none.
///
/// # Errors
/// [`StoreError`] if the store can't be reached or its entry can't be decoded.
pub async fn read_manifest(
    store: &dyn crate::ports::ConfigStore,
) -> Result<Option<(Revision, ManifestRecord)>, StoreError> {
    let Some(entry) = store.read(MANIFEST_KEY).await? else { return Ok(None) };
    let record = serde_json::from_str(&entry.value)
        .map_err(|e| StoreError::Unavailable(format!("the manifest can't be read: {e}")))?;
    Ok(Some((entry.revision, record)))
}
