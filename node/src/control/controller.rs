use {
    super::{
        change::Change, demand, engine_specs, evidence::EvidenceSearch, held_cell::HeldCell,
        placement::ReportedEngine,
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

/// Instances of a region that look whether a cell has a holder.
const CANDIDATES: usize = 2;
/// Shortest time between two looks at open orders.
const SETTLE: Duration = Duration::from_millis(500);
/// Time between two looks for new cells.
const PERIOD: Duration = Duration::from_millis(500);

/// Runs a controller for each cell of this instance's region.
pub async fn run_controllers(app: Arc<App>) {
    let mut cells: BTreeSet<CellId> = BTreeSet::new();
    while *app.phase.borrow() == Phase::Serving {
        for cell in engine_specs::region_cells(&app) {
            if cells.insert(cell.clone()) {
                tokio::spawn(Controller::new(cell).run(app.clone()));
            }
        }
        sleep(PERIOD).await;
    }
}

/// What one instance does for one cell, as holder or candidate.
pub(super) struct Controller {
    pub(super) cell: CellId,
    pub(super) changes: Vec<Change>,
    planners: HashMap<ModelId, Planner>,
    pub(super) balance: Option<RoleBalancer>,
    evidence: EvidenceSearch,
    held: Option<HeldCell>,
    looked: Option<Time>,
    /// When the cell was taken, and when open orders were last looked at.
    taken: Time,
    settled: Time,
    pub(super) unsettled: BTreeSet<EngineId>,
    failing: bool,
}

impl Controller {
    fn new(cell: CellId) -> Self {
        Self {
            cell,
            changes: Vec::new(),
            planners: HashMap::new(),
            balance: None,
            evidence: EvidenceSearch::default(),
            held: None,
            looked: None,
            taken: Time::ZERO,
            settled: Time::ZERO,
            unsettled: BTreeSet::new(),
            failing: false,
        }
    }

    async fn run(mut self, app: Arc<App>) {
        let period = app.settings.control.period.duration();
        while *app.phase.borrow() == Phase::Serving {
            let done = self.tick(&app).await;
            self.note(done);
            sleep(period).await;
        }
        if let Some(held) = self.held.take() {
            held.release(&app).await;
        }
    }

    /// Logs when the store begins to fail and when it is back, not each failure.
    fn note(&mut self, done: Result<bool, StoreError>) {
        let failing = match &done {
            Ok(asked) => self.failing && !asked,
            Err(_) => true,
        };
        match done {
            Err(error) if !self.failing => log::warn!("control: cell {}: {error}", self.cell),
            Ok(true) if self.failing => {
                log::info!("control: cell {}: the store is back", self.cell);
            }
            _ => {}
        }
        self.failing = failing;
    }

    /// Does what is due; whether the store was there, or was not asked.
    async fn tick(&mut self, app: &Arc<App>) -> Result<bool, StoreError> {
        let Some(mut held) = self.held.take() else { return self.seek(app).await };
        held.renew(app).await;
        if !held.cell_lease.valid(app.now()) {
            self.lose(app);
            return Ok(false);
        }
        let done = self.work(app, &mut held).await;
        match done {
            Err(StoreError::Conflict(_)) => {
                held.cell_lease.set(None);
                self.lose(app);
            }
            done => {
                self.held = Some(held);
                done?;
            }
        }
        Ok(true)
    }

    fn lose(&mut self, app: &App) {
        log::warn!("control: cell {} is held no more", self.cell);
        self.changes.drain(..).for_each(|change| change.give_up(app));
        self.planners.clear();
        self.balance = None;
        app.metrics.held_cells.dec();
        app.metrics.frozen_engines.set(0);
    }

    /// Takes the cell if it has no holder and this instance is among its first candidates.
    async fn seek(&mut self, app: &Arc<App>) -> Result<bool, StoreError> {
        let duty = app.view().rank_for(self.cell.as_str(), &app.settings.region);
        let now = app.now();
        let lease = app.settings.control.lease.duration();
        // A holder that lives may still have lost the store.
        let every = if self.holder_lives(app) { lease } else { lease / 3 };
        let early = self.looked.is_some_and(|t| now - t < every);
        if duty >= CANDIDATES || early {
            return Ok(false);
        }
        self.looked = Some(now);
        let Some(held) = HeldCell::acquire(app, &self.cell).await? else { return Ok(true) };
        log::info!("control: took cell {} with number {}", self.cell, held.ledger.number);
        let (number, address) = (held.ledger.number, app.settings.mesh.listen);
        let found = CellHolder { holder: app.me.clone(), address, number };
        app.holders().record_holder(&self.cell, found);
        let (cell, holder) = (self.cell.clone(), app.me.clone());
        app.view().queue_update(Update::CellHolder { cell, holder, address, number });
        self.taken = app.now();
        self.held = Some(held);
        app.metrics.held_cells.inc();
        Ok(true)
    }

    /// Whether the holder that was heard of lives: then the store is asked less often.
    fn holder_lives(&self, app: &App) -> bool {
        let Some(found) = app.holders().holder(&self.cell).map(|h| h.holder.clone()) else {
            return false;
        };
        let view = app.view();
        let lives = view.live().any(|m| m.info.id == found.instance && m.info.start == found.start);
        app.settings.hosted.is_some() && lives
    }

    async fn work(&mut self, app: &Arc<App>, held: &mut HeldCell) -> Result<(), StoreError> {
        self.settle(app, held).await?;
        app.metrics.frozen_engines.set(self.unsettled.len() as i64);
        let mut done = Ok(());
        for mut change in std::mem::take(&mut self.changes) {
            // A change that meets a failing store goes on later.
            let going_on = match done.is_ok() {
                true => change.step(app, held).await.unwrap_or_else(|error| {
                    done = Err(error);
                    true
                }),
                false => true,
            };
            if going_on {
                self.changes.push(change);
            }
        }
        done?;
        if app.settings.hosted.is_some() {
            // An earlier holder's last order may still be under way.
            if app.now() - self.taken >= app.settings.control.lease.duration() {
                self.balance(app);
            }
            return Ok(());
        }
        let Ok(index) = app.manifest_index() else { return Ok(()) };
        let seen = self.look(app, &index).await;
        self.reconcile_models(app, &index, held, &seen).await?;
        self.plan(app, &index, &seen);
        Ok(())
    }

    /// Looks at all open orders from time to time, and notes the engines whose orders stay open.
    async fn settle(&mut self, app: &Arc<App>, held: &mut HeldCell) -> Result<(), StoreError> {
        if app.now() - self.settled < SETTLE {
            return Ok(());
        }
        self.settled = app.now();
        held.ledger.forget(|id| engine_specs::engine_spec(app, id).is_none());
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

    /// Reads the engines that may be given orders.
    async fn look(&self, app: &App, index: &ManifestIndex) -> Vec<ReportedEngine> {
        let free = |id: &EngineId| {
            !self.unsettled.contains(id) && !self.changes.iter().any(|c| c.engine == *id)
        };
        let mine = index.manifest.engines.iter();
        let mine = mine.filter(|(id, spec)| spec.cell == self.cell && free(id));
        let reads = mine.map(|(id, spec)| async move {
            let report = app.ports.engines.report(spec.address).await.ok()?;
            Some(ReportedEngine { id: id.clone(), spec: spec.clone(), report })
        });
        join_all(reads).await.into_iter().flatten().collect()
    }

    /// Decides on one role change for each model.
    fn plan(&mut self, app: &App, index: &ManifestIndex, seen: &[ReportedEngine]) {
        for model in index.manifest.models.keys() {
            let mine: Vec<&ReportedEngine> =
                seen.iter().filter(|s| s.spec.model == *model).collect();
            let Some(first) = mine.first() else { continue };
            let now = app.now();
            let split = self.split(index, model, &mine);
            let away = split.total() - mine.len();
            let weight = index.manifest.weight;
            let planner = self
                .planners
                .entry(model.clone())
                .or_insert_with(|| Planner::new(weight, ChangeCost::default(), now));
            planner.set_weight(weight);
            let demand = demand::total(app, &self.cell, model);
            let rates = &first.spec.rates;
            let Some(role) =
                planner.decide(&PlannerInput { demand, rates, split, unavailable: away }, now)
            else {
                continue;
            };
            if let Some(engine) = self.idlest(app, &mine, role.other(), now) {
                let order = Order::Role(role);
                let (id, spec) = (engine.id.clone(), engine.spec.clone());
                self.changes.push(Change::begin(app, id, spec, order));
            }
        }
    }

    /// Engines by the role that they have or change to.
    fn split(&self, index: &ManifestIndex, model: &ModelId, mine: &[&ReportedEngine]) -> Split {
        let known = |c: &&Change| {
            let spec = index.manifest.engines.get(&c.engine);
            spec.is_some_and(|s| s.model == *model)
        };
        let goals = self.changes.iter().filter(known).map(|c| c.goal().unwrap_or_default());
        mine.iter().map(|s| s.report.role).chain(goals).collect()
    }

    /// The engine of a role with the least to do.
    fn idlest<'a>(
        &self,
        app: &App,
        mine: &[&'a ReportedEngine],
        role: Role,
        now: Time,
    ) -> Option<&'a ReportedEngine> {
        let mut fleet = app.fleet();
        mine.iter()
            .filter(|s| s.report.role == role && !s.report.changing)
            .filter(|s| fleet.engine(&s.id).is_some_and(|e| !e.leaving))
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .min_by_key(|s| {
                let load = fleet.engine(&s.id).map(|e| e.load.expected(e.prefill_rate(), 1, now));
                load.map(|l| (l.running + l.waiting, l.queued))
            })
    }
}
