use {
    super::relay::{self, ChangeRelay},
    crate::{
        app::App,
        ports::{Directory, DirectoryError, TargetChanges},
    },
    lentil_core::{
        clock::Time,
        fleet::{MissingTargets, TargetBatch, TargetChange},
        ids::{EngineId, Revision},
        limit::Backoff,
        mesh::Update,
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Delay between two watches, as a share of the time within which leaving targets must be known.
/// Targets renew their entries often and each watch is a counted call, so that watching without a
/// delay would cost many calls.
const WATCH_DELAY_SHARE: f64 = 0.6;
/// Longest wait of one watch. One that hangs is noticed, and the targets are read, within the bound.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// First delay after a failed read: calls are counted during an outage as well.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Longest delay after failed reads: a change that an outage hid must be known within the bound
/// after it.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The same for an instance that gets the changes from another one: after the outage they are relayed
/// to it, or it reads within the time in which it may still act on what it knew.
const MAX_RELAYED_BACKOFF: Duration = Duration::from_millis(2_000);
/// Interval between two reads of all targets, in case a change was never reported.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(30);

/// Follows the directory's targets; never returns.
///
/// In a large region one instance, the region watcher, watches the directory and relays the changes
/// to the others. An instance that has received nothing from it for a while reads the directory
/// itself, so that nothing depends on the watcher.
pub async fn follow_targets(app: Arc<App>, directory: Arc<dyn Directory>) {
    let drain = app.settings.hosted.as_ref().map_or(Duration::from_secs(2), |h| h.drain.duration());
    let mut follower = Follower::new(drain);
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    let mut relayed_backoff = Backoff::new(MIN_BACKOFF, MAX_RELAYED_BACKOFF);
    let mut relayed = app.relayed_targets.subscribe();
    loop {
        if std::mem::take(&mut app.fleet().read_wanted) {
            follower.full_read = None;
        }
        let watcher = relay::is_region_watcher(&app);
        if let Some(valid_for) = follower.relay_valid_for(app.now()).filter(|_| !watcher) {
            follower.listen(&app, &mut relayed, valid_for).await;
            continue;
        }
        let (wait, delay) = match watcher {
            true => (relay::WATCH_TIMEOUT, relay::WATCH_DELAY),
            false => (WATCH_TIMEOUT, drain.mul_f64(WATCH_DELAY_SHARE)),
        };
        match follower.read(&app, directory.as_ref(), wait).await {
            Ok(()) => {
                backoff.record_success();
                relayed_backoff.record_success();
                let delay = follower.cap_wait(delay, app.now());
                if watcher {
                    follower.relay.send(&app).await;
                    sleep(delay).await;
                } else {
                    follower.listen(&app, &mut relayed, delay).await;
                }
            }
            Err(error) => {
                follower.record_failure(&app, &error);
                let relayed = relay::is_crowded(&app) && !watcher;
                let backoff = if relayed { &mut relayed_backoff } else { &mut backoff };
                sleep(backoff.record_failure(rand::random())).await;
            }
        }
    }
}

/// The latest changes relayed by another instance.
type RelayedTargets = watch::Receiver<Arc<Vec<TargetBatch>>>;

/// Progress in following the directory.
struct Follower {
    /// Revision up to which changes were applied; `None` if all targets must be read next.
    revision: Option<Revision>,
    /// When all targets were last read.
    full_read: Option<Time>,
    /// When the latest read that succeeded began: what it does not show happened later.
    listed: Time,
    failing: bool,
    /// Targets whose entries are gone since an outage and may return.
    missing: MissingTargets,
    /// Latest changes that this instance read itself.
    relay: ChangeRelay,
    /// When another instance last relayed changes that continue those applied here.
    last_relayed: Option<Time>,
}

impl Follower {
    fn new(drain: Duration) -> Self {
        Self {
            revision: None,
            full_read: None,
            listed: Time::ZERO,
            failing: false,
            missing: MissingTargets::new(drain),
            relay: ChangeRelay::default(),
            last_relayed: None,
        }
    }

    /// Returns the time for which nothing needs to be read, since another instance relays changes.
    fn relay_valid_for(&self, now: Time) -> Option<Duration> {
        let (until, read) = (self.last_relayed? + relay::RELAY_VALIDITY, self.full_read?);
        let current = now < until && now - read <= FULL_READ_INTERVAL && self.revision.is_some();
        current.then(|| self.cap_wait(until - now, now))
    }

    /// Waits for changes relayed by another instance and applies them.
    async fn listen(&mut self, app: &App, relayed: &mut RelayedTargets, time: Duration) {
        if let Ok(Ok(())) = timeout(time, relayed.changed()).await {
            let batches = relayed.borrow_and_update().clone();
            self.apply_relayed(app, &batches);
        }
    }

    /// Applies changes that another instance read.
    fn apply_relayed(&mut self, app: &App, batches: &[TargetBatch]) {
        let Some(at) = self.revision else { return };
        let Some(new_batches) = relay::batches_after(batches, at) else {
            // Some were lost: the next read goes to the directory.
            self.last_relayed = None;
            return;
        };
        for batch in new_batches {
            for change in &batch.changes {
                self.apply(app, change.clone());
            }
            self.revision = Some(batch.to);
        }
        let now = app.now();
        self.last_relayed = Some(now);
        self.listed = now;
        app.fleet().last_read = now;
        self.remove_missing(app);
    }

    async fn read(
        &mut self,
        app: &App,
        directory: &dyn Directory,
        wait: Duration,
    ) -> Result<(), DirectoryError> {
        let now = app.now();
        let listed = now;
        let stale = self.full_read.is_none_or(|t| now - t > FULL_READ_INTERVAL);
        let found = match self.revision.filter(|_| !stale) {
            Some(at) => directory.target_changes(at, self.cap_wait(wait, now)).await?,
            None => {
                let all = directory.targets().await?;
                self.full_read = Some(now);
                all
            }
        };
        self.record_recovery(app);
        if self.revision.is_none() || stale {
            self.remove_unlisted(app, &found);
        }
        // A full read has no list of changes: instances at an older revision must read themselves.
        let (from, changes) = match self.revision.filter(|_| !stale) {
            Some(at) => (at, found.changes.clone()),
            None => (found.revision, Vec::new()),
        };
        self.revision = Some(found.revision);
        self.relay.record(TargetBatch { from, to: found.revision, changes });
        app.fleet().last_read = app.now();
        for change in found.changes {
            self.apply(app, change);
        }
        self.listed = listed;
        self.remove_missing(app);
        Ok(())
    }

    /// Shortens a wait so that it ends when missing targets are to be removed.
    fn cap_wait(&self, time: Duration, now: Time) -> Duration {
        self.missing.next_due().map_or(time, |due| time.min(due - now))
    }

    fn record_failure(&mut self, app: &App, error: &DirectoryError) {
        self.revision = None;
        self.last_relayed = None;
        if *error == DirectoryError::HistoryExpired {
            return log::info!("directory: the change history is gone, reading all targets again");
        }
        self.missing.record_outage(app.now());
        if !self.failing {
            log::warn!("directory: lost: {error}");
        }
        self.failing = true;
    }

    fn record_recovery(&mut self, app: &App) {
        if self.failing {
            log::info!("directory: regained");
            self.missing.record_outage(app.now());
        }
        self.failing = false;
    }

    /// Removes the targets that a full read does not list.
    fn remove_unlisted(&mut self, app: &App, all: &TargetChanges) {
        let listed: BTreeSet<&EngineId> = all
            .changes
            .iter()
            .filter_map(|c| match c {
                TargetChange::Present(target) => Some(&target.id),
                TargetChange::Gone(_) => None,
            })
            .collect();
        let known: Vec<EngineId> = app.fleet().engines.iter().map(|e| e.id.clone()).collect();
        let count = known.len();
        let gone: Vec<EngineId> = known.into_iter().filter(|id| !listed.contains(id)).collect();
        if !gone.is_empty() {
            log::info!("directory: {} of {count} targets are not listed any more", gone.len());
        }
        for id in self.missing.record_unlisted(gone, count, app.now()) {
            deregister(app, &id);
        }
    }

    fn apply(&mut self, app: &App, change: TargetChange) {
        match change {
            TargetChange::Present(target) => {
                self.missing.record_present(&target.id);
                let now = app.now();
                let (changed, new_version) = {
                    let mut fleet = app.fleet();
                    let new_version = fleet.adds_version(&target, now);
                    (fleet.register(&target, now), new_version)
                };
                if new_version {
                    app.versions_changed.notify_one();
                }
                if changed {
                    app.targets_changed.notify_one();
                }
                if changed && target.leaving {
                    let (engine, boot) = (target.id.clone(), target.boot);
                    app.member_view().queue_update(Update::Leaving { engine, boot });
                }
                if changed {
                    log::info!(
                        "directory: target={} boot={} service={} software={:?} address={} role={} leaving={} spot={}",
                        target.id,
                        target.boot,
                        target.service,
                        target.software.as_str(),
                        target.address,
                        target.role,
                        target.leaving,
                        target.spot.map_or("unknown", |s| if s { "yes" } else { "no" })
                    );
                }
            }
            TargetChange::Gone(id) => {
                if self.missing.record_removed(&id, self.listed, app.now()) {
                    deregister(app, &id);
                }
            }
        }
    }

    /// Removes the targets that did not register again in time.
    fn remove_missing(&mut self, app: &App) {
        for (id, missed) in self.missing.take_due(app.now()) {
            if app.fleet().deregister(&id, app.now()) {
                app.targets_changed.notify_one();
                log::info!("directory: target={id} gone, missing for {} ms", missed.as_millis());
            }
        }
    }
}

fn deregister(app: &App, id: &EngineId) {
    if app.fleet().deregister(id, app.now()) {
        app.targets_changed.notify_one();
        log::info!("directory: target={id} gone");
    }
}
