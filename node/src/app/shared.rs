use {
    super::{Clock, Fleet, Gate, Holders, InForce},
    crate::{
        claims::ClaimBook,
        control::Seats,
        mesh::Post,
        meter::Meter,
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
/// Lock order, never the other way: `force`, `view`, `fleet`, `cache`, `gate`, `quarantine`,
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
    pub meter: Meter,
    /// Run-once records.
    pub claims: ClaimBook,
    /// Seals and opens frames.
    pub post: Post,
    /// Socket for datagrams to other instances, once it is bound.
    pub socket: OnceLock<Arc<UdpSocket>>,
    /// Cells that this instance holds.
    pub seats: Seats,
    /// Places for answers in work.
    pub open: Arc<Semaphore>,
    /// The instance's phase.
    pub phase: watch::Sender<Phase>,
    /// The latest changes among the targets that another instance told.
    pub told: watch::Sender<Arc<Vec<TargetBatch>>>,
    force: RwLock<Option<InForce>>,
    routes: RwLock<Option<Arc<RouteTable>>>,
    view: Mutex<MemberView>,
    fleet: Mutex<Fleet>,
    cache: Mutex<CacheIndex>,
    gate: Mutex<Gate>,
    quarantine: Mutex<Quarantine>,
    holders: Mutex<Holders>,
    /// Greatest revision that any instance was heard to have.
    heard: Mutex<Revision>,
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
        let claims = ClaimBook::new(ports.store.clone(), settings.claims.clone(), clock);
        Self {
            view: Mutex::new(MemberView::new(info, pace)),
            gate: Mutex::new(Gate::new(settings.limits.retries, resends(&settings))),
            open: Arc::new(Semaphore::new(settings.limits.open)),
            meter: Meter::new(),
            phase: watch::Sender::new(Phase::Serving),
            told: watch::Sender::default(),
            post: Post::default(),
            socket: OnceLock::new(),
            seats: Seats::default(),
            force: RwLock::default(),
            routes: RwLock::default(),
            fleet: Mutex::default(),
            cache: Mutex::default(),
            quarantine: Mutex::default(),
            holders: Mutex::default(),
            heard: Mutex::default(),
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
    pub fn pause_number(&self) -> u64 {
        self.clock.wall().0 * 1_000 + rand::random::<u64>() % 1_000
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
    pub fn gate(&self) -> MutexGuard<'_, Gate> {
        locked(&self.gate)
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
    pub fn index(&self) -> Result<Arc<ManifestIndex>, Fault> {
        self.in_force()
            .map(|f| f.index)
            .ok_or_else(|| Fault::new(ErrorKind::NotReady, "no manifest is in force yet"))
    }

    /// The manifest in force as record and index.
    pub fn in_force(&self) -> Option<InForce> {
        self.force.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Revision in force; zero before there is one.
    pub fn revision(&self) -> Revision {
        self.in_force().map_or(Revision(0), |f| f.index.revision)
    }

    /// Puts a record in force if it is newer than what is; true if it was.
    pub fn enforce(&self, revision: Revision, record: ManifestRecord) -> bool {
        let manifest = record.manifest.clone();
        let index = Arc::new(ManifestIndex::new(revision, manifest));
        {
            let mut force = self.force.write().unwrap_or_else(PoisonError::into_inner);
            if force.as_ref().is_some_and(|f| f.index.revision >= revision) {
                return false;
            }
            *force = Some(InForce { index: index.clone(), record: Arc::new(record) });
            // Under the lock, or an older manifest could overtake a newer one here.
            self.fleet().follow(&index.manifest);
        }
        self.meter.revision.set(revision.0 as i64);
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
    pub fn enforce_routes(&self, table: RouteTable) -> bool {
        let mut routes = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        if routes.as_ref().is_some_and(|r| r.version >= table.version) {
            return false;
        }
        self.meter.revision.set(table.version.0 as i64);
        *routes = Some(Arc::new(table));
        true
    }

    /// Notes a revision that another instance has.
    pub fn heard_revision(&self, revision: Revision) {
        let mut heard = locked(&self.heard);
        *heard = (*heard).max(revision);
    }

    /// Whether callers should be sent here.
    pub fn ready(&self) -> bool {
        let serving = *self.phase.borrow() == Phase::Serving;
        if self.settings.hosted.is_some() {
            return serving && self.routes().is_ok() && !self.fleet().engines.is_empty();
        }
        let revision = self.revision();
        serving && revision.0 > 0 && revision >= *locked(&self.heard)
    }
}
