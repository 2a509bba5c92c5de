//! What all parts of one instance share.

mod active_manifest;
mod admission;
mod clock;
mod fleet;
mod holders;

pub use {active_manifest::*, admission::*, clock::*, fleet::*, holders::*};

use {
    crate::{
        claims::ClaimStore,
        control::CellLeases,
        mesh::FrameCodec,
        metrics::Metrics,
        ports::{ConfigStore, Engine, InstanceList, PlainService, WeightStore},
    },
    lentil_core::{
        clock::Time,
        error::{ErrorKind, Fault},
        fleet::{CacheIndex, TargetBatch},
        ids::Revision,
        limit::ResendLimit,
        manifest::{ManifestIndex, ManifestRecord},
        mesh::{DetectorTiming, MemberInfo, MemberView},
        order::Holder,
        poison::Quarantine,
        routes::RouteTable,
        settings::Settings,
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock},
        time::Duration,
    },
    tokio::{
        net::UdpSocket,
        sync::{watch, Semaphore},
    },
};

/// Adapters to all outside systems.
pub struct Ports {
    /// The key-value service.
    pub store: Arc<dyn ConfigStore>,
    /// The list of instances.
    pub list: Arc<dyn InstanceList>,
    /// The weight store, if there is one.
    pub weights: Option<Arc<dyn WeightStore>>,
    /// Engines.
    pub engines: Arc<dyn Engine>,
    /// Plain services.
    pub services: Arc<dyn PlainService>,
}

/// How far an instance is from its start to its stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It tells that it is not ready, and still serves what comes.
    Leaving,
    /// It takes nothing new; running answers end.
    Draining,
}

/// The tables that the workers share.
///
/// Lock order, never the other way: `manifest`, `view`, `fleet`, `cache`, `admission`, `quarantine`,
/// `holders`. No lock is held over an `await`.
pub struct App {
    /// Settings of this instance.
    pub settings: Settings,
    /// This process, as others know it.
    pub me: Holder,
    /// The clocks.
    pub clock: Clock,
    /// Outside systems.
    pub ports: Ports,
    /// Metrics.
    pub metrics: Metrics,
    /// Run-once records.
    pub claims: ClaimStore,
    /// Seals and opens frames.
    pub frame_codec: FrameCodec,
    /// Socket for datagrams to other instances, once it is bound.
    pub socket: OnceLock<Arc<UdpSocket>>,
    /// Cells that this instance holds.
    pub cell_leases: CellLeases,
    /// Places for answers in work.
    pub run_permits: Arc<Semaphore>,
    /// The instance's phase.
    pub phase: watch::Sender<Phase>,
    /// The latest changes among the targets that another instance told.
    pub relayed_targets: watch::Sender<Arc<Vec<TargetBatch>>>,
    manifest: RwLock<Option<ActiveManifest>>,
    routes: RwLock<Option<Arc<RouteTable>>>,
    view: Mutex<MemberView>,
    fleet: Mutex<Fleet>,
    cache: Mutex<CacheIndex>,
    admission: Mutex<Admission>,
    quarantine: Mutex<Quarantine>,
    holders: Mutex<Holders>,
    /// Greatest revision that any instance was heard to have.
    latest_revision: Mutex<Revision>,
}

fn resends(settings: &Settings) -> ResendLimit {
    let resends = settings.hosted.as_ref().map(|h| h.resends);
    resends.map_or(ResendLimit { ratio: 0.0, slack: 0.0, window: Duration::from_secs(10) }, |r| {
        ResendLimit { ratio: r.ratio, slack: r.slack, window: Duration::from_secs_f64(r.window) }
    })
}

/// A panic in another worker leaves the tables usable: each change to them is one step.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl App {
    /// Tables of an instance that starts now.
    pub fn new(settings: Settings, ports: Ports) -> Self {
        let clock = Clock::start();
        let me = Holder { instance: settings.instance.clone(), start: clock.incarnation() };
        let info = MemberInfo {
            id: settings.instance.clone(),
            start: me.start,
            refutations: 0,
            address: settings.mesh.listen,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
        };
        let pace = DetectorTiming { interval: settings.mesh.beat.duration() };
        let claims = ClaimStore::new(ports.store.clone(), settings.claims.clone(), clock);
        Self {
            view: Mutex::new(MemberView::new(info, pace)),
            admission: Mutex::new(Admission::new(settings.limits.retries, resends(&settings))),
            run_permits: Arc::new(Semaphore::new(settings.limits.open)),
            metrics: Metrics::new(),
            phase: watch::Sender::new(Phase::Serving),
            relayed_targets: watch::Sender::default(),
            frame_codec: FrameCodec::default(),
            socket: OnceLock::new(),
            cell_leases: CellLeases::default(),
            manifest: RwLock::default(),
            routes: RwLock::default(),
            fleet: Mutex::default(),
            cache: Mutex::default(),
            quarantine: Mutex::default(),
            holders: Mutex::default(),
            latest_revision: Mutex::default(),
            settings,
            me,
            clock,
            ports,
            claims,
        }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// A number for a pause: later pauses have greater ones, and no two instances the same.
    pub fn next_pause_number(&self) -> u64 {
        self.clock.unix_time().0 * 1_000 + rand::random::<u64>() % 1_000
    }

    /// Other instances.
    pub fn view(&self) -> MutexGuard<'_, MemberView> {
        locked(&self.view)
    }

    /// Engines and targets.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        locked(&self.fleet)
    }

    /// Prefix caches of the engines.
    pub fn cache(&self) -> MutexGuard<'_, CacheIndex> {
        locked(&self.cache)
    }

    /// Admission, retries and demand.
    pub fn admission(&self) -> MutexGuard<'_, Admission> {
        locked(&self.admission)
    }

    /// Requests that crash targets.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        locked(&self.quarantine)
    }

    /// Holders of the cells.
    pub fn holders(&self) -> MutexGuard<'_, Holders> {
        locked(&self.holders)
    }

    /// The manifest in force.
    ///
    /// # Errors
    /// [`ErrorKind::NotReady`] before there is one.
    pub fn manifest_index(&self) -> Result<Arc<ManifestIndex>, Fault> {
        self.active_manifest()
            .map(|f| f.index)
            .ok_or_else(|| Fault::new(ErrorKind::NotReady, "no manifest is in force yet"))
    }

    /// The manifest in force as record and index.
    pub fn active_manifest(&self) -> Option<ActiveManifest> {
        self.manifest.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Revision in force; zero before there is one.
    pub fn revision(&self) -> Revision {
        self.active_manifest().map_or(Revision(0), |f| f.index.revision)
    }

    /// Puts a record in force if it is newer than what is; true if it was.
    pub fn activate_manifest(&self, revision: Revision, record: ManifestRecord) -> bool {
        let manifest = record.manifest.clone();
        let index = Arc::new(ManifestIndex::new(revision, manifest));
        {
            let mut manifest = self.manifest.write().unwrap_or_else(PoisonError::into_inner);
            if manifest.as_ref().is_some_and(|f| f.index.revision >= revision) {
                return false;
            }
            *manifest = Some(ActiveManifest { index: index.clone(), record: Arc::new(record) });
            // Under the lock, or an older manifest could overtake a newer one here.
            self.fleet().apply_manifest(&index.manifest);
        }
        self.metrics.revision.set(revision.0 as i64);
        true
    }

    /// The routes in force.
    ///
    /// # Errors
    /// [`ErrorKind::NotReady`] before there are any.
    pub fn routes(&self) -> Result<Arc<RouteTable>, Fault> {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner).clone();
        routes.ok_or_else(|| Fault::new(ErrorKind::NotReady, "no routes are known yet"))
    }

    /// Puts routes in force if they are newer than what is; true if they were.
    pub fn activate_routes(&self, table: RouteTable) -> bool {
        let mut routes = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        if routes.as_ref().is_some_and(|r| r.version >= table.version) {
            return false;
        }
        self.metrics.revision.set(table.version.0 as i64);
        *routes = Some(Arc::new(table));
        true
    }

    /// Notes a revision that another instance has.
    pub fn observe_revision(&self, revision: Revision) {
        let mut latest_revision = locked(&self.latest_revision);
        *latest_revision = (*latest_revision).max(revision);
    }

    /// Whether callers should be sent here.
    pub fn ready(&self) -> bool {
        let serving = *self.phase.borrow() == Phase::Serving;
        if self.settings.hosted.is_some() {
            return serving && self.routes().is_ok() && !self.fleet().engines.is_empty();
        }
        let revision = self.revision();
        serving && revision.0 > 0 && revision >= *locked(&self.latest_revision)
    }
}
