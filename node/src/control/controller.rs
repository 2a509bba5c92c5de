use {
    super::{
        change::Change, demand, engine_specs, evidence::EvidenceSearch, held_cell::HeldCell,
        placement::ReportedEngine, scaling::Scaling,
    },
    crate::{
        app::{App, CellHolder, Phase},
        ports::StoreError,
    },
    futures_util::future::join_all,
    lentil_core::{
        clock::Time,
        ids::{CellId, EngineId, ModelId},
        manifest::{ManifestIndex, Role},
        mesh::Update,
        order::Order,
        plan::{ChangeCost, Planner, PlannerInput, RoleBalancer, Split},
    },
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
    tokio::time::sleep,
};

/// Number of instances of a region that try to acquire a cell: those that rank first for it.
const HOLDER_CANDIDATES: usize = 2;
/// Shortest interval between two attempts to settle open orders.
const SETTLE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two searches for new cells.
const CELL_SCAN_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a controller for each cell of this instance's region.
pub async fn run_controllers(app: Arc<App>) {
    let mut cells: BTreeSet<CellId> = BTreeSet::new();
    while *app.phase.borrow() == Phase::Serving {
        for cell in engine_specs::region_cells(&app) {
            if cells.insert(cell.clone()) {
                tokio::spawn(Controller::new(cell).run(app.clone()));
            }
        }
        sleep(CELL_SCAN_INTERVAL).await;
    }
}

/// Control of one cell by this instance, as its holder or as a candidate.
pub(super) struct Controller {
    pub(super) cell: CellId,
    pub(super) changes: Vec<Change>,
    planners: HashMap<ModelId, Planner>,
    pub(super) balancer: Option<RoleBalancer>,
    /// Numbers of targets that are ordered by demand, once they are known.
    pub(super) scaling: Option<Scaling>,
    evidence: EvidenceSearch,
    held: Option<HeldCell>,
    /// When this instance last tried to acquire the cell.
    last_attempt: Option<Time>,
    /// When this instance acquired the cell.
    pub(super) acquired: Time,
    /// When this instance last tried to settle open orders.
    last_settle: Time,
    /// Engines whose latest order is still open.
    pub(super) unsettled: BTreeSet<EngineId>,
    /// Whether the latest use of the store failed.
    store_failing: bool,
}

impl Controller {
    fn new(cell: CellId) -> Self {
        Self {
            cell,
            changes: Vec::new(),
            planners: HashMap::new(),
            balancer: None,
            scaling: None,
            evidence: EvidenceSearch::default(),
            held: None,
            last_attempt: None,
            acquired: Time::ZERO,
            last_settle: Time::ZERO,
            unsettled: BTreeSet::new(),
            store_failing: false,
        }
    }

    async fn run(mut self, app: Arc<App>) {
        let period = app.settings.control.period.duration();
        while *app.phase.borrow() == Phase::Serving {
            let result = self.tick(&app).await;
            self.log_store_state(result);
            sleep(period).await;
        }
        if let Some(held) = self.held.take() {
            held.release(&app).await;
        }
    }

    /// Logs when the store starts to fail and when it works again, instead of each failure.
    fn log_store_state(&mut self, result: Result<bool, StoreError>) {
        let failing = match &result {
            Ok(used) => self.store_failing && !used,
            Err(_) => true,
        };
        match result {
            Err(error) if !self.store_failing => log::warn!("control: cell {}: {error}", self.cell),
            Ok(true) if self.store_failing => {
                log::info!("control: cell {}: the store is available again", self.cell);
            }
            _ => {}
        }
        self.store_failing = failing;
    }

    /// Runs one round of control.
    ///
    /// `Ok(false)` says nothing about the store: the cell is not held and no attempt to acquire it
    /// was due, or its lease has ended.
    async fn tick(&mut self, app: &Arc<App>) -> Result<bool, StoreError> {
        if engine_specs::is_cut_off(app, &self.cell) {
            self.give_up(app).await;
            return Ok(false);
        }
        let Some(mut held) = self.held.take() else { return self.try_acquire(app).await };
        held.renew(app).await;
        if !held.cell_lease.valid(app.now()) {
            self.abandon_cell(app);
            return Ok(false);
        }
        let result = self.control_cell(app, &mut held).await;
        match result {
            Err(StoreError::Conflict(_)) => {
                held.cell_lease.set(None);
                self.abandon_cell(app);
            }
            result => {
                self.held = Some(held);
                result?;
            }
        }
        Ok(true)
    }

    /// Gives up the cell, if this instance holds it, so that another one can give its orders.
    async fn give_up(&mut self, app: &App) {
        if let Some(held) = self.held.take() {
            held.release(app).await;
            self.abandon_cell(app);
        }
    }

    fn abandon_cell(&mut self, app: &App) {
        log::warn!("control: cell {} is no longer held by this instance", self.cell);
        self.changes.drain(..).for_each(|change| change.abandon(app));
        self.planners.clear();
        self.balancer = None;
        self.scaling = None;
        app.metrics.scaled_targets.reset();
        app.metrics.held_cells.dec();
        app.metrics.frozen_engines.set(0);
    }

    /// Acquires the cell if it has no holder and this instance is among its first candidates.
    async fn try_acquire(&mut self, app: &Arc<App>) -> Result<bool, StoreError> {
        let rank = app.member_view().rank_for(self.cell.as_str(), &app.settings.region);
        let now = app.now();
        let lease = app.settings.control.lease.duration();
        // A live holder may have lost its connection to the store and with it the lease, so the
        // holder key is read in that case too, only less often.
        let interval = if self.holder_lives(app) { lease } else { lease / 3 };
        let early = self.last_attempt.is_some_and(|t| now - t < interval);
        if rank >= HOLDER_CANDIDATES || early {
            return Ok(false);
        }
        self.last_attempt = Some(now);
        let Some(held) = HeldCell::acquire(app, &self.cell).await? else { return Ok(true) };
        log::info!(
            "control: acquired cell {} with fencing number {}",
            self.cell,
            held.ledger.number
        );
        let (number, address) = (held.ledger.number, app.settings.mesh.listen);
        let record = CellHolder { holder: app.identity.clone(), address, fence: number };
        app.holders().record_holder(&self.cell, record);
        let (cell, holder) = (self.cell.clone(), app.identity.clone());
        app.member_view().queue_update(Update::CellHolder { cell, holder, address, number });
        self.acquired = app.now();
        self.held = Some(held);
        app.metrics.held_cells.inc();
        Ok(true)
    }

    /// Returns whether the last known holder is a live member on the platform, in which case the
    /// holder key is read less often.
    fn holder_lives(&self, app: &App) -> bool {
        let Some(holder) = app.holders().holder(&self.cell).map(|h| h.holder.clone()) else {
            return false;
        };
        let view = app.member_view();
        let lives =
            view.live().any(|m| m.info.id == holder.instance && m.info.start == holder.start);
        app.settings.hosted.is_some() && lives
    }

    /// Settles open orders, advances the changes in progress and starts new ones.
    async fn control_cell(
        &mut self,
        app: &Arc<App>,
        held: &mut HeldCell,
    ) -> Result<(), StoreError> {
        self.settle_open_orders(app, held).await?;
        app.metrics.frozen_engines.set(self.unsettled.len() as i64);
        let mut result = Ok(());
        for mut change in std::mem::take(&mut self.changes) {
            // Once the store has failed, the remaining changes continue in a later round.
            let unfinished = match result.is_ok() {
                true => change.advance(app, held).await.unwrap_or_else(|error| {
                    result = Err(error);
                    true
                }),
                false => true,
            };
            if unfinished {
                self.changes.push(change);
            }
        }
        result?;
        if app.settings.hosted.is_some() {
            // An earlier holder's last order may still be in progress.
            let settled = app.now() - self.acquired >= app.settings.control.lease.duration();
            if settled && !engine_specs::is_plain(app, &self.cell) {
                self.balance_roles(app);
            }
            return self.scale_targets(app, held).await;
        }
        let Ok(index) = app.manifest_index() else { return Ok(()) };
        let engines = self.read_engines(app, &index).await;
        self.reconcile_models(app, &index, held, &engines).await?;
        self.plan_role_changes(app, &index, &engines);
        Ok(())
    }

    /// Tries to settle all open orders, at most once per [`SETTLE_INTERVAL`], and records the
    /// engines whose orders stay open.
    async fn settle_open_orders(
        &mut self,
        app: &Arc<App>,
        held: &mut HeldCell,
    ) -> Result<(), StoreError> {
        if app.now() - self.last_settle < SETTLE_INTERVAL {
            return Ok(());
        }
        self.last_settle = app.now();
        held.ledger.remove_settled(|id| engine_specs::engine_spec(app, id).is_none());
        let open: Vec<_> = held.ledger.unsettled().map(|(id, e)| (id.clone(), e.clone())).collect();
        self.unsettled.clear();
        for (id, entry) in open {
            let Some(spec) = engine_specs::engine_spec(app, &id) else { continue };
            if !held.resolve_open(app, &mut self.evidence, &id, &entry, &spec).await? {
                self.unsettled.insert(id);
            }
        }
        Ok(())
    }

    /// Reads the reports of the cell's engines that may be sent an order now.
    async fn read_engines(&self, app: &App, index: &ManifestIndex) -> Vec<ReportedEngine> {
        let eligible = |id: &EngineId| {
            !self.unsettled.contains(id) && !self.changes.iter().any(|c| c.engine == *id)
        };
        let engines = index.manifest.engines.iter();
        let engines = engines.filter(|(id, spec)| spec.cell == self.cell && eligible(id));
        let reads = engines.map(|(id, spec)| async move {
            let target = app.addressee(id, spec.address);
            let check = || app.check_control(&target);
            let report = app.ports.engines.report(&target, &check).await.ok()?;
            Some(ReportedEngine { id: id.clone(), spec: spec.clone(), report })
        });
        join_all(reads).await.into_iter().flatten().collect()
    }

    /// Starts at most one role change for each model.
    fn plan_role_changes(&mut self, app: &App, index: &ManifestIndex, engines: &[ReportedEngine]) {
        for model in index.manifest.models.keys() {
            let of_model: Vec<&ReportedEngine> =
                engines.iter().filter(|e| e.spec.model == *model).collect();
            let Some(first) = of_model.first() else { continue };
            let now = app.now();
            let split = self.role_split(index, model, &of_model);
            let unavailable = split.total() - of_model.len();
            let weight = index.manifest.weight;
            let planner = self
                .planners
                .entry(model.clone())
                .or_insert_with(|| Planner::new(weight, ChangeCost::default(), now));
            planner.set_weight(weight);
            let demand = demand::total_demand(app, &self.cell, model);
            let rates = &first.spec.rates;
            let Some(role) =
                planner.decide(&PlannerInput { demand, rates, split, unavailable }, now)
            else {
                continue;
            };
            if let Some(engine) = self.least_loaded(app, &of_model, role.other(), now) {
                let order = Order::Role(role);
                let (id, spec) = (engine.id.clone(), engine.spec.clone());
                self.changes.push(Change::begin(app, id, spec, order));
            }
        }
    }

    /// Counts a model's engines by the role that they have or are changing to.
    fn role_split(
        &self,
        index: &ManifestIndex,
        model: &ModelId,
        engines: &[&ReportedEngine],
    ) -> Split {
        let of_model = |c: &&Change| {
            let spec = index.manifest.engines.get(&c.engine);
            spec.is_some_and(|s| s.model == *model)
        };
        let target_roles =
            self.changes.iter().filter(of_model).map(|c| c.target_role().unwrap_or_default());
        engines.iter().map(|e| e.report.role).chain(target_roles).collect()
    }

    /// Returns the engine of a role that has the fewest requests, then the fewest queued tokens.
    fn least_loaded<'a>(
        &self,
        app: &App,
        engines: &[&'a ReportedEngine],
        role: Role,
        now: Time,
    ) -> Option<&'a ReportedEngine> {
        let mut fleet = app.fleet();
        engines
            .iter()
            .filter(|e| e.report.role == role && !e.report.changing)
            .filter(|e| fleet.engine(&e.id).is_some_and(|view| !view.leaving))
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .min_by_key(|e| {
                let view = fleet.engine(&e.id);
                let load = view.map(|v| v.load.expected(v.prefill_rate(), 1, now));
                load.map(|l| (l.running + l.waiting, l.queued))
            })
    }
}
