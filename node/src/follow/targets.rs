use {
    super::relay::{self, ChangeRelay},
    crate::{
        app::App,
        ports::{Directory, DirectoryError, TargetChanges},
    },
    lentil_core::{
        clock::Time,
        fleet::{TargetBatch, TargetChange},
        ids::{EngineId, Revision},
        limit::Backoff,
        mesh::Update,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Part of the time within which leaving targets must be known that passes between two looks:
/// targets renew their entries often, and each look is a call that is counted.
const PACE: f64 = 0.6;
/// Longest wait of one look.
const WAIT: Duration = Duration::from_millis(2_500);
/// First and longest pause after looks that failed: calls are counted in an outage as well, and
/// what is missed must be known within the bound after it.
const PAUSES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(500)];
/// Time after an outage within which targets whose entries lapsed enter themselves again.
const RETURN: Duration = Duration::from_millis(2_100);
/// Time between two readings of all targets, in case a change was never told.
const REREAD: Duration = Duration::from_secs(30);

/// Follows the targets of the directory for ever.
///
/// In a large region one instance looks for all and tells the others; who has not heard from it
/// for a while looks itself, so that nothing depends on that one.
pub async fn follow_targets(app: Arc<App>, directory: Arc<dyn Directory>) {
    let mut follower = Follower::default();
    let mut backoff = Backoff::new(PAUSES[0], PAUSES[1]);
    let drain = app.settings.hosted.as_ref().map_or(Duration::from_secs(2), |h| h.drain.duration());
    let mut relayed = app.relayed_targets.subscribe();
    loop {
        let watcher = relay::is_region_watcher(&app);
        if let Some(left) = follower.covered(app.now()).filter(|_| !watcher) {
            follower.listen(&app, &mut relayed, left).await;
            continue;
        }
        let (wait, pace) = match watcher {
            true => (relay::WATCH_TIMEOUT, relay::WATCH_PAUSE),
            false => (WAIT, drain.mul_f64(PACE)),
        };
        match follower.read(&app, directory.as_ref(), wait).await {
            Ok(()) => {
                backoff.succeeded();
                let pause = follower.at_most(pace, app.now());
                if watcher {
                    follower.relay.send(&app).await;
                    sleep(pause).await;
                } else {
                    follower.listen(&app, &mut relayed, pause).await;
                }
            }
            Err(error) => {
                follower.failed(&app, &error);
                sleep(backoff.failed(rand::random())).await;
            }
        }
    }
}

/// The latest changes that another instance told.
type RelayedTargets = watch::Receiver<Arc<Vec<TargetBatch>>>;

/// What is known of the directory's state.
#[derive(Default)]
struct Follower {
    at: Option<Revision>,
    read: Option<Time>,
    outage: Option<Time>,
    failing: bool,
    /// Targets whose entries are gone since an outage, which may be back.
    missing: BTreeMap<EngineId, Time>,
    /// What it read itself lately.
    relay: ChangeRelay,
    /// When another instance last told all that there is.
    last_relayed: Option<Time>,
}

impl Follower {
    /// Time for which nothing needs to be read, since another instance tells.
    fn covered(&self, now: Time) -> Option<Duration> {
        let (at, read) = (self.last_relayed? + relay::RELAY_VALIDITY, self.read?);
        let current = now < at && now - read <= REREAD && self.at.is_some();
        current.then(|| self.at_most(at - now, now))
    }

    /// Waits for what another instance tells.
    async fn listen(&mut self, app: &App, relayed: &mut RelayedTargets, time: Duration) {
        if let Ok(Ok(())) = timeout(time, relayed.changed()).await {
            let batches = relayed.borrow_and_update().clone();
            self.apply_relayed(app, &batches);
        }
    }

    /// Takes in what another instance read.
    fn apply_relayed(&mut self, app: &App, batches: &[TargetBatch]) {
        let Some(at) = self.at else { return };
        let Some(news) = relay::batches_after(batches, at) else {
            // Some were lost: it looks itself.
            self.last_relayed = None;
            return;
        };
        for batch in news {
            for change in &batch.changes {
                self.apply(app, change.clone());
            }
            self.at = Some(batch.to);
        }
        let now = app.now();
        self.last_relayed = Some(now);
        app.fleet().last_read = now;
        self.drop_missing(app);
    }

    async fn read(
        &mut self,
        app: &App,
        directory: &dyn Directory,
        wait: Duration,
    ) -> Result<(), DirectoryError> {
        let now = app.now();
        let stale = self.read.is_none_or(|t| now - t > REREAD);
        let found = match self.at.filter(|_| !stale) {
            Some(at) => directory.target_changes(at, self.at_most(wait, now)).await?,
            None => {
                let all = directory.targets().await?;
                self.read = Some(now);
                self.vanished(app, &all);
                all
            }
        };
        self.recovered(app);
        // A full reading leads on from nothing: who lacks what it has reads itself.
        let (from, changes) = match self.at.filter(|_| !stale) {
            Some(at) => (at, found.changes.clone()),
            None => (found.revision, Vec::new()),
        };
        self.at = Some(found.revision);
        self.relay.record(TargetBatch { from, to: found.revision, changes });
        app.fleet().last_read = app.now();
        for change in found.changes {
            self.apply(app, change);
        }
        self.drop_missing(app);
        Ok(())
    }

    /// A time that does not reach beyond the moment at which missing targets are to be dropped.
    fn at_most(&self, time: Duration, now: Time) -> Duration {
        match self.outage.filter(|_| !self.missing.is_empty()) {
            Some(outage) => time.min((outage + RETURN) - now),
            None => time,
        }
    }

    fn failed(&mut self, app: &App, error: &DirectoryError) {
        self.at = None;
        self.last_relayed = None;
        if *error == DirectoryError::Gone {
            return log::info!("directory: history is gone, reads all targets again");
        }
        self.outage = Some(app.now());
        if !self.failing {
            log::warn!("directory: lost: {error}");
        }
        self.failing = true;
    }

    fn recovered(&mut self, app: &App) {
        if self.failing {
            log::info!("directory: regained");
            self.outage = Some(app.now());
        }
        self.failing = false;
    }

    /// Treats targets that a full reading does not name as gone.
    fn vanished(&mut self, app: &App, all: &TargetChanges) {
        let named: BTreeSet<&EngineId> = all
            .changes
            .iter()
            .filter_map(|c| match c {
                TargetChange::Present(target) => Some(&target.id),
                TargetChange::Gone(_) => None,
            })
            .collect();
        let known: Vec<EngineId> = app.fleet().engines.iter().map(|e| e.id.clone()).collect();
        for id in known.into_iter().filter(|id| !named.contains(id)) {
            self.gone(app, id);
        }
    }

    fn apply(&mut self, app: &App, change: TargetChange) {
        match change {
            TargetChange::Present(target) => {
                self.missing.remove(&target.id);
                let fresh = app.fleet().register(&target);
                if fresh && target.leaving {
                    let (engine, boot) = (target.id.clone(), target.boot);
                    app.view().queue_update(Update::Leaving { engine, boot });
                }
                if fresh {
                    log::info!(
                        "directory: target={} boot={} service={} address={} role={} leaving={}",
                        target.id,
                        target.boot,
                        target.service,
                        target.address,
                        target.role,
                        target.leaving
                    );
                }
            }
            TargetChange::Gone(id) => self.gone(app, id),
        }
    }

    fn gone(&mut self, app: &App, id: EngineId) {
        let now = app.now();
        let back = self.outage.is_some_and(|t| now - t < RETURN);
        if back {
            self.missing.entry(id).or_insert(now);
        } else if app.fleet().deregister(&id) {
            log::info!("directory: target={id} gone");
        }
    }

    fn drop_missing(&mut self, app: &App) {
        let now = app.now();
        if self.outage.is_some_and(|t| now - t < RETURN) {
            return;
        }
        for (id, since) in std::mem::take(&mut self.missing) {
            if app.fleet().deregister(&id) {
                log::info!(
                    "directory: target={id} gone, missing for {} ms",
                    (now - since).as_millis()
                );
            }
        }
    }
}
