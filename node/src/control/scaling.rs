use {
    super::{
        balance::{busy_targets, cell_engines},
        engine_specs::scaled_service,
        held_cell::{count_store_call, HeldCell},
        store_keys::scaling_key,
    },
    crate::{
        app::{random_id, App, Fleet},
        ports::{ApiError, DutyCall, StoreError, TargetOrder},
    },
    lentil_core::{
        clock::Time,
        fleet::EngineView,
        ids::{CellId, EngineId, Revision, ServiceId, WriterToken, Zone},
        manifest::Role,
        plan::{
            serving, PerRole, PriceKind, Removal, ScaledTarget, Scaler, ScalingInput, ScalingOrder,
            ScalingOutcome, ZoneCounts,
        },
        routes::{ScalingConfig, ServiceConfig},
    },
    serde::{Deserialize, Serialize},
    std::{collections::HashSet, sync::Arc, time::Duration},
    tokio::task::JoinHandle,
};

/// Age from which the directory is too old to compare it with what was ordered.
const MAX_DIRECTORY_AGE: Duration = Duration::from_secs(5);
/// Shortest interval between two full reads of the directory that are requested for targets whose
/// kind is not known.
const KIND_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Least share of the instances whose work must be known before targets are removed.
const MIN_KNOWN_SHARE: f64 = 0.5;
/// Share of an engine's memory that can hold shared prefixes; the rest holds the prompts at work.
const PREFIX_MEMORY_SHARE: f64 = 0.85;
/// Largest number of role changes at the same time that keep the split, as a share of the engines.
const MAX_CHANGING_SHARE: f64 = 0.1;

/// The numbers of targets ordered for a service, as stored.
///
/// Unknown fields are ignored, so that later versions can add some.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ScalingRecord {
    writer: WriterToken,
    zones: ZoneCounts,
}

/// The numbers of targets of a cell's service, as ordered by this instance while it holds the cell.
pub(super) struct Scaling {
    scaler: Scaler,
    /// The stored numbers.
    stored: ZoneCounts,
    /// Revision of the stored numbers; `None` if they have to be read again.
    revision: Option<Revision>,
    /// The call to the platform's API that is in flight.
    call: Option<(ScalingOrder, JoinHandle<Result<(), ApiError>>)>,
    /// When a call was last made.
    last_call: Option<Time>,
    /// When a full read of the directory was last requested.
    kinds_wanted: Option<Time>,
}

/// State of a service's targets, as read from the view of the fleet.
struct View {
    config: ScalingConfig,
    targets: Vec<(Zone, PriceKind, Role, bool)>,
    busy: PerRole<f64>,
    caching: u32,
    engines: bool,
    /// Whether the directory is recent and the kind of each target is known.
    known: bool,
    unknown_kinds: bool,
    /// Share of the instances whose work is known.
    known_share: f64,
}

impl super::controller::Controller {
    /// Orders targets for the service of this cell, if it is scaled by demand.
    ///
    /// At most one order is in flight. Its numbers are stored before it is sent.
    pub(super) async fn scale_targets(
        &mut self,
        app: &Arc<App>,
        held: &HeldCell,
    ) -> Result<(), StoreError> {
        let Some((service, config)) = scaled_service(app, &self.cell) else {
            self.scaling = None;
            return Ok(());
        };
        let now = app.now();
        if self.scaling.as_ref().is_none_or(|s| s.revision.is_none()) {
            let (stored, revision) = read_record(app, &self.cell).await?;
            let scaler = match self.scaling.take() {
                Some(scaling) => scaling.scaler,
                None => Scaler::new(stored.clone(), now),
            };
            let revision = Some(revision);
            self.scaling = Some(Scaling::new(scaler, stored, revision));
        }
        let waited = now - self.acquired >= handover_time(app);
        let Some(scaling) = &mut self.scaling else { return Ok(()) };
        scaling.finish_call(app, &service, now).await;
        let view = read_view(app, &self.cell, &service, &config, now);
        scaling.request_kinds(app, &view, now);
        let targets: Vec<ScaledTarget> = view.targets();
        let input = ScalingInput {
            config: &view.config,
            targets: &targets,
            engines: view.engines,
            busy: view.busy,
            caching: view.caching,
            may_order: waited && view.known && scaling.call.is_none() && !scaling.paced(app, now),
            may_remove: view.known_share >= MIN_KNOWN_SHARE,
        };
        let order = scaling.scaler.decide(&input, now);
        scaling.record_metrics(app, &service, &targets);
        let Some(order) = order else { return Ok(()) };
        scaling.scaler.begin(&order, now);
        scaling.last_call = Some(now);
        log::info!(
            "scale: service={service} zone={} kind={} from={} to={} why={} serving={:?} needed={:?}",
            order.zone,
            order.kind,
            order.from,
            order.to,
            order.why,
            serving(&input),
            scaling.scaler.needed(),
        );
        if scaling.stored != *scaling.scaler.counts() {
            if let Err(error) = scaling.save(app, &self.cell).await {
                // Nothing is sent. The number stays ordered here, and is sent with the next attempt.
                scaling.scaler.end(&order, ScalingOutcome::Refused, now);
                return Err(error);
            }
        }
        scaling.send(app, held, service, order);
        Ok(())
    }

    /// Returns the role that the engines are short of for the ordered numbers, if any.
    pub(super) fn role_short_for_scaling(&self, engines: &[&EngineView]) -> Option<Role> {
        let scaling = self.scaling.as_ref()?;
        let most = ((engines.len() as f64 * MAX_CHANGING_SHARE) as usize).max(1);
        let count = |role: Role| {
            let changing = self.changes.iter().filter(|c| c.target_role() == Some(role)).count();
            let others = engines.iter().filter(|e| e.role == role).count();
            (changing + others) as u32
        };
        let split = PerRole { prefill: count(Role::Prefill), decode: count(Role::Decode) };
        scaling.scaler.short_role(split).filter(|_| self.changes.len() < most)
    }

    /// Returns whether an engine may change its role: a change would be in vain if the engine is about
    /// to be removed.
    pub(super) fn may_change(&self, engine: &EngineView, now: Time) -> bool {
        let removal = self.pending_removal(engine);
        self.scaling.as_ref().is_none_or(|s| s.scaler.allows_change(removal, now))
    }

    /// Returns whether an engine is about to be removed.
    pub(super) fn pending_removal(&self, engine: &EngineView) -> Removal {
        let kind = kind_of(engine);
        self.scaling
            .as_ref()
            .map_or(Removal::None, |s| s.scaler.pending_removal(&engine.zone, kind))
    }
}

impl Scaling {
    fn new(scaler: Scaler, stored: ZoneCounts, revision: Option<Revision>) -> Self {
        Self { scaler, stored, revision, call: None, last_call: None, kinds_wanted: None }
    }

    /// Returns whether a call has to wait so that orders take at most half of the calls that the
    /// API accepts; the other half is left to reports.
    fn paced(&self, app: &App, now: Time) -> bool {
        let api = app.settings.hosted.as_ref().and_then(|h| h.api.as_ref());
        let interval = api.map_or(Duration::ZERO, |a| Duration::from_secs_f64(2.0 / a.rate));
        self.last_call.is_some_and(|t| now - t < interval)
    }

    /// Records the result of the call that was in flight, if it has ended.
    async fn finish_call(&mut self, app: &App, service: &ServiceId, now: Time) {
        let Some((order, task)) = self.call.take_if(|(_, task)| task.is_finished()) else { return };
        let result = task.await.unwrap_or_else(|e| Err(ApiError::Unknown(e.to_string())));
        let (outcome, label) = match &result {
            Ok(()) => (ScalingOutcome::Accepted, "accepted"),
            Err(ApiError::Conflict) => (ScalingOutcome::Conflict, "conflict"),
            Err(ApiError::Unknown(_)) => (ScalingOutcome::Unknown, "unknown"),
            Err(_) => (ScalingOutcome::Refused, "refused"),
        };
        app.metrics.scaling_orders.with_label_values(&[label]).inc();
        if let Err(error) = result {
            log::info!(
                "scale: service={service} zone={} kind={} to={} result={label}: {error}",
                order.zone,
                order.kind,
                order.to
            );
        }
        self.scaler.end(&order, outcome, now);
    }

    /// Has the directory read again if the kind of a target is not known, since another instance
    /// reported it.
    fn request_kinds(&mut self, app: &App, view: &View, now: Time) {
        let recent = self.kinds_wanted.is_some_and(|t| now - t < KIND_READ_INTERVAL);
        if view.unknown_kinds && !recent {
            self.kinds_wanted = Some(now);
            app.fleet().read_wanted = true;
        }
    }

    /// Writes the ordered numbers. A conflict shows that another instance holds the cell.
    async fn save(&mut self, app: &App, cell: &CellId) -> Result<(), StoreError> {
        let Some(base) = self.revision.take() else {
            return Err(StoreError::Unavailable("the stored numbers are not known".into()));
        };
        let zones = self.scaler.counts().clone();
        let record = ScalingRecord { writer: random_id("w"), zones: zones.clone() };
        let value =
            serde_json::to_string(&record).map_err(|e| StoreError::Unavailable(e.to_string()))?;
        count_store_call(app, "scaling");
        match app.ports.store.swap(&scaling_key(cell), value, base, None).await {
            Ok(revision) => {
                self.revision = Some(revision);
                self.stored = zones;
                Ok(())
            }
            Err(error @ (StoreError::Conflict(_) | StoreError::Unknown(_))) => Err(error),
            Err(error) => {
                self.revision = Some(base);
                Err(error)
            }
        }
    }

    /// Sends an order in the background, so that a slow API delays neither the lease's renewal nor
    /// orders to engines.
    fn send(&mut self, app: &Arc<App>, held: &HeldCell, service: ServiceId, order: ScalingOrder) {
        let Some(api) = app.ports.api.clone() else { return };
        let call = DutyCall { holder: app.identity.instance.clone(), fence: held.fence };
        let target_order = TargetOrder {
            service,
            zone: order.zone.clone(),
            count: order.to,
            spot: order.kind == PriceKind::Spot,
        };
        let (cell_lease, clock) = (held.cell_lease.clone(), app.clock);
        let lease = cell_lease.lease().map(|l| l.id);
        let task = tokio::spawn(async move {
            let _in_flight = cell_lease.api_lock.clone().lock_owned().await;
            // A lease acquired later belongs to another fencing number.
            let same = || cell_lease.lease().map(|l| l.id) == lease;
            let authority = || cell_lease.valid(clock.now()) && same();
            api.order_targets(&call, &target_order, &authority).await
        });
        self.call = Some((order, task));
    }

    fn record_metrics(&self, app: &App, service: &ServiceId, targets: &[ScaledTarget]) {
        for (zone, counts) in self.scaler.counts() {
            for kind in [PriceKind::Ordinary, PriceKind::Spot] {
                let of_kind = targets.iter().filter(|t| t.zone == zone && t.kind == kind);
                let set = |state: &str, count: i64| {
                    let labels = [service.as_str(), zone.as_str(), &kind.to_string(), state];
                    app.metrics.scaled_targets.with_label_values(&labels).set(count);
                };
                set("desired", i64::from(counts.of(kind)));
                set("registered", of_kind.count() as i64);
            }
        }
    }
}

impl View {
    fn targets(&self) -> Vec<ScaledTarget<'_>> {
        let targets = self.targets.iter();
        targets
            .map(|(zone, kind, role, serving)| ScaledTarget {
                zone,
                kind: *kind,
                role: *role,
                serving: *serving,
            })
            .collect()
    }
}

/// Returns the time from an acquisition to the first order: the lease of the previous holder and its
/// longest call are over then.
fn handover_time(app: &App) -> Duration {
    let control = &app.settings.control;
    control.lease.duration() + app.settings.platform.timeout.duration() + control.margin.duration()
}

fn kind_of(engine: &EngineView) -> PriceKind {
    match engine.spot {
        Some(true) => PriceKind::Spot,
        _ => PriceKind::Ordinary,
    }
}

/// Reads the state of a service's targets from the view of the fleet.
fn read_view(
    app: &App,
    cell: &CellId,
    service: &ServiceId,
    config: &ServiceConfig,
    now: Time,
) -> View {
    let mut scaling = config.scaling.clone().unwrap_or_default();
    let (own, hosted) = (&app.settings.region, app.settings.hosted.as_ref());
    scaling.prices.retain(|zone, _| hosted.is_some_and(|h| h.zones.get(zone) == Some(own)));
    let known_share = known_share(app, now);
    let fleet = app.fleet();
    let engines: Vec<&EngineView> = cell_engines(&fleet, cell).filter(|e| !e.leaving).collect();
    let target = |e: &&EngineView| (e.zone.clone(), kind_of(e), e.role, e.accepts_work(now));
    let unknown_kinds = engines.iter().any(|e| e.spot.is_none());
    View {
        targets: engines.iter().map(target).collect(),
        busy: busy_targets(&engines, now).map(|busy| busy / known_share),
        caching: caching_engines(app, &fleet, service, config, &engines, now),
        engines: config.engine.is_some(),
        known: !unknown_kinds && now - fleet.last_read < MAX_DIRECTORY_AGE,
        unknown_kinds,
        known_share,
        config: scaling,
    }
}

/// Returns the share of the instances that are in the view. The others' work is not known: large
/// regions do not fit a view, and a partition hides some.
fn known_share(app: &App, now: Time) -> f64 {
    let view = app.member_view();
    let known = view.live().count() as f64 + 1.0;
    let all = view.fleet_size(now).map_or(known, f64::from);
    (known / all.max(1.0)).min(1.0)
}

/// Returns the number of prefilling engines whose memory holds the shared prefixes in use.
fn caching_engines(
    app: &App,
    fleet: &Fleet,
    service: &ServiceId,
    config: &ServiceConfig,
    engines: &[&EngineView],
    now: Time,
) -> u32 {
    let memory = config.engine.as_ref().map_or(0.0, |e| e.memory.0 as f64);
    let model = service.as_str().parse().ok();
    let tokens = model.and_then(|m| fleet.learned_rates(&m).shared_tokens.mean()).unwrap_or(0.0);
    if memory <= 0.0 || tokens <= 0.0 {
        return 0;
    }
    let prefilling: HashSet<&EngineId> =
        engines.iter().filter(|e| e.role == Role::Prefill).map(|e| &e.id).collect();
    let prefixes = app.cache_index().locations.count_at(|e| prefilling.contains(e), now);
    (prefixes as f64 * tokens / (memory * PREFIX_MEMORY_SHARE)).ceil() as u32
}

/// Reads the stored numbers and their revision.
async fn read_record(app: &App, cell: &CellId) -> Result<(ZoneCounts, Revision), StoreError> {
    let key = scaling_key(cell);
    count_store_call(app, "scaling");
    let Some(entry) = app.ports.store.read(&key).await? else {
        return Ok((ZoneCounts::new(), Revision(0)));
    };
    let record: ScalingRecord = serde_json::from_str(&entry.value)
        .map_err(|e| StoreError::Unavailable(format!("key {key:?}: {e}")))?;
    Ok((record.zones, entry.revision))
}
