//! State shared by all parts of one instance.

mod active_manifest;
mod admission;
mod announcements;
mod clock;
mod fleet;
mod holders;
mod send_gate;
mod target_failure;

pub use {active_manifest::*, admission::*, clock::*, fleet::*, holders::*, send_gate::*};

use {
    crate::{
        claims::ClaimStore,
        control::CellLeases,
        intake::{descriptor_limit, AddressConnections, CurrentHeadLimits, RequestMemory},
        mesh::{FrameCodec, PeerVersions, Questions, Refusals},
        metrics::Metrics,
        ports::{
            ConfigStore, Engine, InstanceList, PlainService, PlatformApi, WeightStore,
            WorkspaceHeaders,
        },
        reach::ReachChecks,
        relay::RelayLinks,
        run::Investigations,
        usage::Usage,
    },
    lentil_core::{
        clock::Time,
        error::{ErrorKind, Fault},
        fleet::{CacheIndex, TargetBatch},
        ids::Revision,
        intake::IntakeShares,
        limit::ResendLimit,
        manifest::{ManifestIndex, ManifestRecord},
        mesh::{
            Announcement, DetectorTiming, LimitNote, MemberInfo, MemberView, Reply, RoutesState,
            TargetState, TrialReply, VersionRange,
        },
        order::Holder,
        poison::Quarantine,
        reach::ReachTable,
        routes::{RouteTable, TableFreshness},
        settings::Settings,
        stream::StreamOrigins,
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock},
        time::Duration,
    },
    tokio::{
        net::UdpSocket,
        sync::{watch, Notify, Semaphore},
    },
};

/// Adapters to all outside systems.
pub struct Ports {
    /// Key-value service with the manifest, the cells' ledgers and the claims.
    pub store: Arc<dyn ConfigStore>,
    /// The platform's list of instances, engines and targets.
    pub list: Arc<dyn InstanceList>,
    /// Store of model weights, if there is one.
    pub weights: Option<Arc<dyn WeightStore>>,
    /// Client of the engines.
    pub engines: Arc<dyn Engine>,
    /// Client of the plain services.
    pub services: Arc<dyn PlainService>,
    /// Client of the platform's API, if the platform has one.
    pub api: Option<Arc<dyn PlatformApi>>,
    /// Headers that carry keys and workspaces, if the platform has them.
    pub workspaces: Option<Arc<dyn WorkspaceHeaders>>,
}

/// Stage of an instance between start and stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Serves requests.
    Serving,
    /// Reports that it is not ready, and still serves the requests that arrive.
    Leaving,
    /// Refuses new requests while running answers end.
    Draining,
}

/// State shared by all tasks of an instance.
///
/// Locks are taken in this order only: `manifest`, `member_view`, `fleet`, `cache_index`,
/// `admission`, `quarantine`, `holders`. No lock is held across an `await`.
pub struct App {
    /// Settings of this instance; a port that the system chose replaces port 0.
    pub settings: Settings,
    /// Identity of this process among the instances.
    pub identity: Holder,
    /// Monotonic and wall clock.
    pub clock: Clock,
    /// Adapters to outside systems.
    pub ports: Ports,
    /// Metrics, as served at `/metrics`.
    pub metrics: Metrics,
    /// Claims of run-once requests.
    pub claims: ClaimStore,
    /// Authenticates frames sent to and received from other instances.
    pub frame_codec: FrameCodec,
    /// Refused datagrams that were logged.
    pub refusals: Refusals,
    /// Builds and protocol versions that other instances announced.
    pub peer_versions: PeerVersions,
    /// Questions to other instances that wait for an answer.
    pub questions: Questions<Reply>,
    /// Questions for the routes of other instances that wait for an answer.
    pub route_questions: Questions<RoutesState>,
    /// Questions whether other instances reach a target that wait for an answer.
    pub target_questions: Questions<TargetState>,
    /// Requests for trials of quarantined requests that wait for an answer.
    pub trial_questions: Questions<TrialReply>,
    /// Notified when what is known of other instances' routes has changed.
    pub peer_routes: Notify,
    /// Socket for datagrams to other instances, once it is bound.
    pub socket: OnceLock<Arc<UdpSocket>>,
    /// Leases of the cells that this instance holds.
    pub cell_leases: CellLeases,
    /// Parts of the memory and descriptors for what callers make this instance hold.
    pub shares: IntakeShares,
    /// Memory for the bodies of requests.
    pub memory: Arc<RequestMemory>,
    /// Connections to the addresses of this instance.
    pub connections: AddressConnections,
    /// Limits on callers' heads that are in force.
    head_limits: Arc<CurrentHeadLimits>,
    /// Permits for concurrent requests; `limits.open` sets their number.
    pub run_permits: Arc<Semaphore>,
    /// Current phase; tasks watch it to stop.
    pub phase: watch::Sender<Phase>,
    /// The latest changes of targets relayed by the region watcher.
    pub relayed_targets: watch::Sender<Arc<Vec<TargetBatch>>>,
    manifest: RwLock<Option<ActiveManifest>>,
    routes: RwLock<Option<Arc<RouteTable>>>,
    table_freshness: Mutex<TableFreshness>,
    member_view: Mutex<MemberView>,
    fleet: Mutex<Fleet>,
    cache_index: Mutex<CacheIndex>,
    admission: Mutex<Admission>,
    /// Notified when this instance has found a request to quarantine.
    pub quarantine_found: Notify,
    quarantine: Mutex<Quarantine>,
    /// When another instance's quarantine was last requested.
    quarantine_pull: Mutex<Option<Time>>,
    /// Notified when a target has come, changed or gone.
    pub targets_changed: Notify,
    /// Notified when a service gets another software version.
    pub versions_changed: Notify,
    stream_origins: Mutex<StreamOrigins>,
    /// When the latest read of the recorded software versions for a resumed stream began; locked
    /// during the read, so that others wait for it.
    pub software_read: tokio::sync::Mutex<Time>,
    limits_changed: Notify,
    /// Changes of targets' limits that the other instances are to learn.
    limit_notes: Mutex<Vec<LimitNote>>,
    investigations: Mutex<Investigations>,
    /// Connections for requests that instances relay.
    pub links: RelayLinks,
    /// Changes each time that this instance is found to be cut off from a service.
    pub reach_changed: watch::Sender<u64>,
    reach: Mutex<ReachTable>,
    reach_checks: Mutex<ReachChecks>,
    holders: Mutex<Holders>,
    usage: Option<Mutex<Usage>>,
    /// Greatest manifest revision reported by any instance.
    latest_revision: Mutex<Revision>,
}

fn resend_limit(settings: &Settings) -> ResendLimit {
    let resends = settings.hosted.as_ref().map(|h| h.resends);
    resends.map_or(ResendLimit { ratio: 0.0, slack: 0.0, window: Duration::from_secs(10) }, |r| {
        ResendLimit { ratio: r.ratio, slack: r.slack, window: Duration::from_secs_f64(r.window) }
    })
}

/// Locks a table. A panic in another task leaves the table consistent, since each change is a
/// single step.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl App {
    /// Creates the state of an instance that starts now.
    pub fn new(settings: Settings, ports: Ports) -> Self {
        let clock = Clock::start();
        let identity = Holder { instance: settings.instance.clone(), start: clock.incarnation() };
        let info = MemberInfo {
            id: settings.instance.clone(),
            start: identity.start,
            refutations: 0,
            address: settings.mesh.listen,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
        };
        let timing = DetectorTiming { interval: settings.mesh.beat.duration() };
        let head_limits = Arc::new(CurrentHeadLimits::default());
        let shares = settings.limits.shares(descriptor_limit());
        let claims = ClaimStore::new(ports.store.clone(), settings.claims.clone(), clock);
        Self {
            member_view: Mutex::new(MemberView::new(info, timing)),
            admission: Mutex::new(Admission::new(settings.limits.retries, resend_limit(&settings))),
            memory: RequestMemory::new(&shares, clock),
            connections: AddressConnections::new(&shares, head_limits.clone(), clock),
            head_limits,
            shares,
            run_permits: Arc::new(Semaphore::new(settings.limits.open)),
            metrics: Metrics::new(),
            phase: watch::Sender::new(Phase::Serving),
            relayed_targets: watch::Sender::default(),
            frame_codec: FrameCodec::default(),
            refusals: Refusals::default(),
            peer_versions: PeerVersions::default(),
            socket: OnceLock::new(),
            cell_leases: CellLeases::default(),
            manifest: RwLock::default(),
            routes: RwLock::default(),
            table_freshness: Mutex::default(),
            fleet: Mutex::default(),
            cache_index: Mutex::default(),
            quarantine_found: Notify::new(),
            quarantine: Mutex::default(),
            quarantine_pull: Mutex::default(),
            targets_changed: Notify::new(),
            versions_changed: Notify::new(),
            stream_origins: Mutex::default(),
            software_read: tokio::sync::Mutex::new(Time::ZERO),
            limits_changed: Notify::new(),
            limit_notes: Mutex::default(),
            questions: Questions::default(),
            route_questions: Questions::default(),
            target_questions: Questions::default(),
            trial_questions: Questions::default(),
            peer_routes: Notify::new(),
            investigations: Mutex::default(),
            links: RelayLinks::new(settings.limits.open, shares.relayed),
            reach_changed: watch::Sender::default(),
            reach: Mutex::default(),
            reach_checks: Mutex::default(),
            holders: Mutex::default(),
            usage: Usage::new(&settings, &clock).map(Mutex::new),
            latest_revision: Mutex::default(),
            settings,
            identity,
            clock,
            ports,
            claims,
        }
    }

    /// Returns what this instance announces about its build.
    pub fn announcement(&self) -> Announcement {
        Announcement {
            start: self.identity.start,
            build: Some(env!("CARGO_PKG_VERSION").to_owned()),
            versions: VersionRange::OWN,
        }
    }

    /// Returns the current monotonic time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Generates the number of a new pause: later pauses have greater numbers, and random digits
    /// keep those of different instances apart.
    pub fn next_pause_number(&self) -> u64 {
        self.clock.unix_time().0 * 1_000 + rand::random::<u64>() % 1_000
    }

    /// Locks the view of the other instances.
    pub fn member_view(&self) -> MutexGuard<'_, MemberView> {
        lock(&self.member_view)
    }

    /// Locks the engines and targets.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Locks the index of the engines' prefix caches.
    pub fn cache_index(&self) -> MutexGuard<'_, CacheIndex> {
        lock(&self.cache_index)
    }

    /// Locks the state of admission, retries and demand.
    pub fn admission(&self) -> MutexGuard<'_, Admission> {
        lock(&self.admission)
    }

    /// Locks the quarantine of requests that crash targets.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    /// Locks the origins of recent streams. No other lock is taken meanwhile.
    pub fn stream_origins(&self) -> MutexGuard<'_, StreamOrigins> {
        lock(&self.stream_origins)
    }

    /// Locks the investigations of targets that are in progress. No other lock is taken meanwhile.
    pub fn investigations(&self) -> MutexGuard<'_, Investigations> {
        lock(&self.investigations)
    }

    /// Locks the state of the services' reach. No other lock is taken meanwhile.
    pub fn reach(&self) -> MutexGuard<'_, ReachTable> {
        lock(&self.reach)
    }

    /// Locks the checks of the services' reach that are in progress; `reach` may be locked meanwhile.
    pub fn reach_checks(&self) -> MutexGuard<'_, ReachChecks> {
        lock(&self.reach_checks)
    }

    /// Returns whether another instance's quarantine may be requested at `now`, at most once in
    /// `interval`, and records the request.
    pub fn start_quarantine_pull(&self, now: Time, interval: Duration) -> bool {
        let mut latest = lock(&self.quarantine_pull);
        let due = latest.is_none_or(|t| now - t >= interval);
        if due {
            *latest = Some(now);
        }
        due
    }

    /// Locks the holders of the cells and the reports for them.
    pub fn holders(&self) -> MutexGuard<'_, Holders> {
        lock(&self.holders)
    }

    /// Locks the state of the usage reports; `None` if usage is not reported. No other lock is taken
    /// meanwhile.
    pub fn usage(&self) -> Option<MutexGuard<'_, Usage>> {
        self.usage.as_ref().map(lock)
    }

    /// Returns the active manifest, with its look-up tables.
    ///
    /// # Errors
    /// [`ErrorKind::NotReady`] before there is one.
    pub fn manifest_index(&self) -> Result<Arc<ManifestIndex>, Fault> {
        self.active_manifest()
            .map(|active| active.index)
            .ok_or_else(|| Fault::new(ErrorKind::NotReady, "no manifest is active yet"))
    }

    /// Returns the active manifest, if there is one.
    pub fn active_manifest(&self) -> Option<ActiveManifest> {
        self.manifest.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the revision of the active manifest; zero before there is one.
    pub fn revision(&self) -> Revision {
        self.active_manifest().map_or(Revision(0), |active| active.index.revision)
    }

    /// Activates a manifest if it is newer than the current one; returns whether it was.
    pub fn activate_manifest(&self, revision: Revision, record: ManifestRecord) -> bool {
        let manifest = record.manifest.clone();
        let index = Arc::new(ManifestIndex::new(revision, manifest));
        {
            let mut manifest = self.manifest.write().unwrap_or_else(PoisonError::into_inner);
            if manifest.as_ref().is_some_and(|active| active.index.revision >= revision) {
                return false;
            }
            *manifest = Some(ActiveManifest { index: index.clone(), record: Arc::new(record) });
            // Under the lock: otherwise an older manifest could be applied after a newer one.
            self.fleet().apply_manifest(&index.manifest);
        }
        self.metrics.revision.set(revision.0 as i64);
        true
    }

    /// Returns the active routes.
    ///
    /// # Errors
    /// [`ErrorKind::NotReady`] before there are any.
    pub fn routes(&self) -> Result<Arc<RouteTable>, Fault> {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner).clone();
        routes.ok_or_else(|| Fault::new(ErrorKind::NotReady, "no routes are known yet"))
    }

    /// Returns the version of the active routes; zero before there are any.
    pub fn route_version(&self) -> Revision {
        self.routes().map_or(Revision(0), |table| table.version)
    }

    /// Locks the knowledge of how current the routes are. No other lock is taken meanwhile.
    pub fn table_freshness(&self) -> MutexGuard<'_, TableFreshness> {
        lock(&self.table_freshness)
    }

    /// Activates routes if they are newer than the current ones; returns whether they were.
    pub fn activate_routes(&self, table: RouteTable) -> bool {
        let table = Arc::new(table);
        {
            let mut routes = self.routes.write().unwrap_or_else(PoisonError::into_inner);
            if routes.as_ref().is_some_and(|r| r.version >= table.version) {
                return false;
            }
            *routes = Some(table.clone());
        }
        self.head_limits.set(&table.limits);
        self.metrics.revision.set(table.version.0 as i64);
        let rule = self.settings.hosted.as_ref().map_or_else(Default::default, |h| h.prefixes);
        self.fleet().configure(&table.services, rule);
        true
    }

    /// Records the manifest revision that another instance reports.
    pub fn observe_revision(&self, revision: Revision) {
        let mut latest_revision = lock(&self.latest_revision);
        *latest_revision = (*latest_revision).max(revision);
    }

    /// Returns whether this instance should get requests: it is serving and, if hosted, knows
    /// routes, targets whose streams it may begin, and the number of instances; otherwise its manifest is as recent as any
    /// reported by other instances.
    pub fn ready(&self) -> bool {
        let serving = *self.phase.borrow() == Phase::Serving;
        if self.settings.hosted.is_some() {
            let knows_peers = self.member_view().fleet_size(self.now()).is_some();
            let begins_streams = self.fleet().begins_streams(self.now());
            return serving && self.routes().is_ok() && begins_streams && knows_peers;
        }
        let revision = self.revision();
        serving && revision.0 > 0 && revision >= *lock(&self.latest_revision)
    }
}
