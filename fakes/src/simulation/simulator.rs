use {
    super::{
        score, DecodeTask, Observation, Policy, PrefillTask, RequestResult, RoleController,
        Routing, Score, SimulatedEngine, StepEvents, Trace, BETWEEN_TOKENS_S, CLASSES,
        FIRST_TOKEN_S, ROLE_CHANGE_S, TRACE_S,
    },
    lentil_core::{
        admit::{admit, AdmissionRequest, WorkspaceUsage},
        clock::Time,
        error::ErrorKind,
        fleet::{CacheIndex, EngineView, Load},
        ids::{EngineId, Millis, Rank, TokenRate, Tokens, WorkspaceId},
        limit::RetryBudget,
        manifest::{ClassSpec, EngineRates, EngineSpec, Role},
        plan::{best_split, DemandMeter, Request, Split},
        route::{Pick, RoutingOrigin, RoutingRequest, KV_TRANSFER_BASE_S, KV_TRANSFER_S_PER_TOKEN},
    },
    rand::{rngs::SmallRng, Rng, SeedableRng},
    std::{collections::VecDeque, time::Duration},
};

/// Time for which the simulation goes on after the end of the trace, in seconds.
const DRAIN_S: f64 = 60.0;
/// Time step, in seconds.
const TICK_S: f64 = 0.01;
/// Ticks between two load reports.
const REPORT_TICKS: usize = 25;
/// Ticks between two role decisions.
const DECISION_TICKS: usize = 100;
/// Number of entry instances.
const INSTANCES: usize = 6;
/// Window of the mean demand, in seconds.
const DEMAND_WINDOW_S: f64 = 4.0;
/// Seconds until every instance knows that an engine is draining.
const PROPAGATION_S: f64 = 1.0;
/// Downtime of an engine that is lost, in seconds.
const ENGINE_DOWNTIME_S: f64 = 60.0;
/// Capacity of an engine's prefix cache, in blocks.
const CACHE_BLOCKS: usize = 400;
/// Limit on the retries of one request.
const MAX_RETRIES: u32 = 3;
/// Number of retries that each request adds to the retry budget of its instance.
const RETRY_SHARE: f64 = 0.1;
/// Number of workspaces; traces use only the first four.
const WORKSPACES: usize = 8;

/// Faults injected into a simulation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SimulationFaults {
    /// Age of the load reports, in seconds.
    pub report_age: f64,
    /// Start and end of a store outage, in seconds. No role change is ordered in between.
    pub store_outage: (f64, f64),
    /// Whether the first engine that changes its role crashes during the change.
    pub lose_engine: bool,
}

impl Default for SimulationFaults {
    fn default() -> Self {
        Self { report_age: 0.25, store_outage: (0.0, 0.0), lose_engine: false }
    }
}

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub struct SimulationSetup {
    /// Number of engines.
    pub engines: usize,
    /// Weight of a role change.
    pub change_weight: f64,
    /// How the engines' roles adapt to the mix.
    pub policy: Policy,
    /// How the engines of a request are chosen.
    pub routing: Routing,
    /// Whether admission control refuses requests that would miss their objectives.
    pub admission: bool,
    /// Injected faults.
    pub faults: SimulationFaults,
    /// Index of an engine that fails half of the requests that it starts to decode, if any.
    pub failing_engine: Option<usize>,
    /// Seed of the random choices of the simulation; the trace has its own seed.
    pub seed: u64,
}

/// Rates of each engine.
pub const ENGINE_RATES: EngineRates = EngineRates {
    prefill: TokenRate(20_000.0),
    decode: TokenRate(640.0),
    slots: 32,
    cache: Tokens(1_000_000),
};

/// An entry instance, with its own view of the engines.
struct Instance {
    views: Vec<EngineView>,
    cache_index: CacheIndex,
    usage: WorkspaceUsage,
    retry_budget: RetryBudget,
    demand_meter: DemandMeter,
}

/// A request whose KV cache is being transferred to a decode engine.
struct Transfer {
    /// Time of completion, in seconds.
    done_at: f64,
    request: usize,
    engine: usize,
}

/// State of a simulation. Times are in seconds since the start; requests are indices into the
/// trace.
struct Simulator<'a> {
    setup: &'a SimulationSetup,
    trace: &'a Trace,
    now: f64,
    engines: Vec<SimulatedEngine>,
    /// Start of the last drain of each engine.
    draining_since: Vec<f64>,
    instances: Vec<Instance>,
    /// Loads of all engines with the time at which they were taken, oldest first.
    load_history: VecDeque<(f64, Vec<Load>)>,
    transfers: Vec<Transfer>,
    results: Vec<RequestResult>,
    /// Tokens that each request had generated when it was last migrated.
    generated: Vec<f64>,
    engine_lost: bool,
    /// Prompt tokens found in the prefix caches, and all prompt tokens.
    hit_tokens: (u64, u64),
    /// Seconds for which each engine had work.
    busy_s: Vec<f64>,
    role_changes: u32,
    rng: SmallRng,
    workspaces: Vec<WorkspaceId>,
}

/// Simulates a trace and scores it. The simulation goes on for a minute after the end of the trace, so
/// that running requests can finish.
///
/// # Panics
/// Never: all generated names are valid.
pub fn simulate(setup: &SimulationSetup, trace: &Trace) -> Score {
    let start = best_split(
        trace.demand(0.0),
        &ENGINE_RATES,
        Split { prefill: setup.engines / 3, decode: setup.engines - setup.engines / 3 },
    );
    let mut controller =
        RoleController::new(setup.policy, setup.change_weight, ENGINE_RATES, start, trace);
    let mut simulator = Simulator::new(setup, trace, start);
    let mut next = 0;
    let mut prefill_engines = Vec::new();
    let ticks = ((TRACE_S + DRAIN_S) / TICK_S) as usize;
    for tick in 0..ticks {
        simulator.now = tick as f64 * TICK_S;
        if tick % REPORT_TICKS == 0 {
            simulator.deliver_reports();
        }
        if tick % DECISION_TICKS == 0 && simulator.now < TRACE_S {
            simulator.decide_roles(&mut controller);
            prefill_engines
                .push(simulator.engines.iter().filter(|e| e.role == Role::Prefill).count());
        }
        while trace.arrivals.get(next).is_some_and(|a| a.at <= simulator.now) {
            simulator.arrive(next);
            next += 1;
        }
        simulator.step();
    }
    let mut score = score(trace, &simulator.results);
    score.role_changes = simulator.role_changes;
    score.cache_hits = simulator.hit_tokens.0 as f64 / simulator.hit_tokens.1.max(1) as f64;
    let mean = simulator.busy_s.iter().sum::<f64>() / simulator.busy_s.len() as f64;
    score.load_spread = simulator.busy_s.iter().copied().fold(0.0, f64::max) / mean.max(1e-9);
    score.prefill_engines = prefill_engines;
    score
}

impl<'a> Simulator<'a> {
    fn new(setup: &'a SimulationSetup, trace: &'a Trace, start: Split) -> Self {
        let role = |i: usize| if i < start.prefill { Role::Prefill } else { Role::Decode };
        let engines = (0..setup.engines)
            .map(|i| SimulatedEngine::new(role(i), ENGINE_RATES, CACHE_BLOCKS))
            .collect();
        let view = |i: usize| EngineView {
            role: role(i),
            ..EngineView::new(engine_id(i), &engine_spec())
        };
        let instance = || Instance {
            views: (0..setup.engines).map(view).collect(),
            cache_index: CacheIndex::default(),
            usage: WorkspaceUsage::default(),
            retry_budget: RetryBudget::new(RETRY_SHARE),
            demand_meter: DemandMeter::new(DEMAND_WINDOW_S, Time::ZERO),
        };
        Self {
            setup,
            trace,
            now: 0.0,
            engines,
            draining_since: vec![0.0; setup.engines],
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            load_history: VecDeque::new(),
            transfers: Vec::new(),
            results: vec![RequestResult::default(); trace.arrivals.len()],
            generated: vec![0.0; trace.arrivals.len()],
            engine_lost: false,
            hit_tokens: (0, 0),
            busy_s: vec![0.0; setup.engines],
            role_changes: 0,
            rng: SmallRng::seed_from_u64(setup.seed),
            workspaces: (0..WORKSPACES)
                .map(|i| format!("w{i}").parse().expect("the name is valid"))
                .collect(),
        }
    }

    fn time(&self) -> Time {
        Time::from_secs_f64(self.now)
    }

    /// Delivers the engines' load reports, aged by `report_age`, to all instances.
    fn deliver_reports(&mut self) {
        self.load_history
            .push_back((self.now, self.engines.iter().map(SimulatedEngine::load).collect()));
        let report_age = self.setup.faults.report_age;
        while self.load_history.len() > 1 && self.now - self.load_history[1].0 >= report_age {
            self.load_history.pop_front();
        }
        let (at, loads) = self.load_history[0].clone();
        for instance in &mut self.instances {
            for (i, view) in instance.views.iter_mut().enumerate() {
                let engine = &self.engines[i];
                view.role = engine.role;
                view.unavailable = !engine.is_up(self.now);
                view.draining = engine.next_role.is_some();
                view.load.record_report(loads[i], Time::from_secs_f64(at));
            }
        }
    }

    /// Runs the role controller, and starts to drain the least loaded engine if a role must change.
    fn decide_roles(&mut self, controller: &mut RoleController) {
        self.complete_role_changes();
        let now = self.time();
        let demand = self
            .instances
            .iter()
            .map(|i| i.demand_meter.demand(now))
            .fold(Default::default(), |a, b| a + b);
        let live: Vec<&SimulatedEngine> =
            self.engines.iter().filter(|e| self.now >= e.down_until).collect();
        let prefill =
            live.iter().filter(|e| e.next_role.unwrap_or(e.role) == Role::Prefill).count();
        let split = Split { prefill, decode: live.len() - prefill };
        let unavailable =
            live.iter().filter(|e| e.next_role.is_some() || !e.is_up(self.now)).count();
        let loads = self.load_history[0].1.clone();
        let observed =
            Observation { demand, split, unavailable, loads: &loads, engines: &self.engines };
        let decided = controller.decide(&observed, self.now);
        let (outage_start, outage_end) = self.setup.faults.store_outage;
        if (outage_start..outage_end).contains(&self.now) {
            return;
        }
        let Some(role) = decided else { return };
        let eligible = |i: &usize| {
            let engine = &self.engines[*i];
            engine.role == role.other() && engine.next_role.is_none() && engine.is_up(self.now)
        };
        let load = |i: &usize| {
            let load = self.engines[*i].load();
            (load.running + load.waiting, load.queued)
        };
        let Some(chosen) = (0..self.engines.len()).filter(eligible).min_by_key(load) else {
            return;
        };
        self.engines[chosen].next_role = Some(role);
        self.draining_since[chosen] = self.now;
        self.role_changes += 1;
        for instance in &mut self.instances {
            instance.views[chosen].draining = true;
        }
    }

    /// Migrates the decodes of draining engines, and changes the role of those that are idle.
    fn complete_role_changes(&mut self) {
        for i in 0..self.engines.len() {
            let Some(new_role) = self.engines[i].next_role else { continue };
            if self.now - self.draining_since[i] < PROPAGATION_S {
                continue;
            }
            self.migrate_decodes(i);
            if !self.engines[i].is_idle() {
                continue;
            }
            let engine = &mut self.engines[i];
            engine.next_role = None;
            engine.role = new_role;
            engine.changing_until = self.now + ROLE_CHANGE_S;
            if self.setup.faults.lose_engine && !self.engine_lost {
                self.engine_lost = true;
                engine.crash(self.now + ENGINE_DOWNTIME_S);
            }
        }
    }

    /// Migrates an engine's decodes, with their KV caches, to the decode engines with the fewest.
    fn migrate_decodes(&mut self, from: usize) {
        for task in self.engines[from].take_decodes() {
            self.generated[task.request] = task.generated;
            let open = |e: &SimulatedEngine| {
                e.role == Role::Decode && e.next_role.is_none() && e.is_up(self.now)
            };
            let load = |e: &SimulatedEngine| {
                let load = e.load();
                load.running + load.waiting
            };
            let engines = self.engines.iter().enumerate().filter(|(_, e)| open(e));
            let Some((engine, _)) = engines.min_by_key(|(_, e)| load(e)) else {
                self.engines[from].queue_decode(task);
                continue;
            };
            let tokens = self.trace.arrivals[task.request].prompt as f64 + task.generated;
            let done_at = self.now + KV_TRANSFER_BASE_S + tokens * KV_TRANSFER_S_PER_TOKEN;
            self.transfers.push(Transfer { done_at, request: task.request, engine });
        }
    }

    fn work(&self, request: usize) -> RoutingRequest {
        let arrival = &self.trace.arrivals[request];
        let class = &CLASSES[arrival.class];
        let millis = |seconds: f64| Millis((seconds * 1_000.0) as u64);
        RoutingRequest {
            model: "m".parse().expect("the name is valid"),
            adapter: None,
            prompt: Tokens(arrival.prompt),
            output: Tokens(class.output as u64),
            blocks: arrival.blocks.clone(),
            lengths: Default::default(),
            resumable: false,
            software: None,
            excluded: Default::default(),
            class: ClassSpec {
                first: millis(FIRST_TOKEN_S),
                between: millis(BETWEEN_TOKENS_S),
                deadline: millis(class.deadline),
                priority: class.priority,
            },
            rank: Rank::FIRST,
        }
    }

    /// Sends a new request to a random instance.
    fn arrive(&mut self, request: usize) {
        let instance = self.rng.gen_range(0..INSTANCES);
        self.instances[instance].retry_budget.record_request();
        self.dispatch(request, instance, true);
    }

    /// Routes a request at an instance; `first_try` is false for retries, which skip admission.
    fn dispatch(&mut self, request: usize, instance_index: usize, first_try: bool) {
        let now = self.time();
        let work = self.work(request);
        let origin = RoutingOrigin {
            partial: false,
            region: "nl".parse().expect("the name is valid"),
            zone: "a".parse().expect("the name is valid"),
            instances: INSTANCES as u32,
            salt: self.rng.gen(),
        };
        let instance = &mut self.instances[instance_index];
        let picked = self.setup.routing.pick(
            &instance.views,
            &instance.cache_index,
            &work,
            &origin,
            &mut self.rng,
            now,
        );
        let hit = picked.as_ref().map_or(Tokens(0), |p| p.hit);
        if first_try {
            let first_token = work.class.first.duration();
            let arrived = Request { prompt: work.prompt - hit, output: work.output, first_token };
            instance.demand_meter.record_arrival(arrived.demand(ENGINE_RATES.prefill.0), now);
        }
        let Ok(pick) = picked else {
            self.results[request].refused = Some(self.now);
            return;
        };
        if first_try
            && self.setup.admission
            && !self.is_admitted(request, instance_index, &work, &pick)
        {
            self.results[request].refused = Some(self.now);
            return;
        }
        self.send(request, instance_index, &work, pick);
    }

    fn is_admitted(
        &mut self,
        request: usize,
        instance_index: usize,
        work: &RoutingRequest,
        pick: &Pick,
    ) -> bool {
        let now = self.time();
        let workspace = &self.workspaces[self.trace.arrivals[request].workspace];
        let waited = Duration::ZERO;
        let admission_request =
            AdmissionRequest { workspace, share: 1.0, class: &work.class, waited };
        let instance = &mut self.instances[instance_index];
        let admitted = admit(&admission_request, pick, &instance.usage, now);
        if let Err(fault) = &admitted {
            debug_assert!(matches!(fault.kind, ErrorKind::NoCapacity | ErrorKind::OverShare));
            return false;
        }
        instance.usage.record_use(workspace, 1.0, pick.end.as_secs_f64(), now);
        true
    }

    /// Records a routed request in the instance's view, and queues its prefill.
    fn send(&mut self, request: usize, instance_index: usize, work: &RoutingRequest, pick: Pick) {
        let now = self.time();
        let instance = &mut self.instances[instance_index];
        let prefill_engine = pick.prefill.unwrap_or(pick.decode);
        let uncached = work.prompt - pick.hit;
        let view = &mut instance.views[prefill_engine];
        view.load.record_send(uncached, pick.prefill.is_none(), now);
        instance.cache_index.record_send(&view.id, &work.blocks);
        if pick.prefill.is_some() {
            instance.views[pick.decode].load.record_send(Tokens(0), true, now);
        }
        let engine = &mut self.engines[prefill_engine];
        let hit = engine.cached_tokens(&work.blocks).min(work.prompt.0);
        self.hit_tokens.0 += hit;
        self.hit_tokens.1 += work.prompt.0;
        engine.queue_prefill(PrefillTask {
            request,
            remaining: (work.prompt.0 - hit) as f64,
            decode_engine: pick.prefill.map(|_| pick.decode),
            blocks: work.blocks.clone(),
            priority: work.class.priority,
        });
    }

    /// Advances all transfers and engines by one tick.
    fn step(&mut self) {
        let now = self.now;
        let completed: Vec<Transfer> = {
            let (completed, pending) =
                std::mem::take(&mut self.transfers).into_iter().partition(|t| t.done_at <= now);
            self.transfers = pending;
            completed
        };
        for transfer in completed {
            self.begin_decode(transfer.request, transfer.engine);
        }
        for i in 0..self.engines.len() {
            if !self.engines[i].is_up(now) {
                continue;
            }
            if !self.engines[i].is_idle() {
                self.busy_s[i] += TICK_S;
            }
            let mut events = StepEvents::default();
            self.engines[i].step(TICK_S, &mut events);
            for (request, decode_engine) in events.prefilled {
                match decode_engine {
                    None => self.begin_decode(request, i),
                    Some(engine) => {
                        let prompt = self.trace.arrivals[request].prompt as f64;
                        let done_at = now + KV_TRANSFER_BASE_S + prompt * KV_TRANSFER_S_PER_TOKEN;
                        self.transfers.push(Transfer { done_at, request, engine });
                    }
                }
            }
            for request in events.first_token {
                self.results[request].first_token.get_or_insert(now + TICK_S);
            }
            for request in events.finished {
                self.results[request].finished = Some(now + TICK_S);
            }
        }
    }

    /// Queues a request for decoding, or retries it if the engine fails or is down.
    fn begin_decode(&mut self, request: usize, engine: usize) {
        if self.setup.failing_engine == Some(engine) && self.rng.gen_bool(0.5) {
            return self.retry(request, engine);
        }
        if self.now < self.engines[engine].down_until {
            return self.retry(request, engine);
        }
        let output = self.trace.arrivals[request].output as f64;
        let generated = self.generated[request];
        self.engines[engine].queue_decode(DecodeTask { request, generated, output });
    }

    /// Retries a request that failed on an engine, at most [`MAX_RETRIES`] times and within the retry
    /// budget.
    fn retry(&mut self, request: usize, engine: usize) {
        let instance = self.rng.gen_range(0..INSTANCES);
        let now = self.time();
        self.instances[instance].views[engine].breaker.record_failure(now);
        if self.results[request].retries >= MAX_RETRIES
            || !self.instances[instance].retry_budget.take()
        {
            self.results[request].refused = Some(self.now);
            return;
        }
        self.results[request].retries += 1;
        self.dispatch(request, instance, false);
    }
}

fn engine_id(i: usize) -> EngineId {
    format!("e{i}").parse().expect("the name is valid")
}

fn engine_spec() -> EngineSpec {
    EngineSpec {
        address: ([127, 0, 0, 1], 1).into(),
        region: "nl".parse().expect("the name is valid"),
        zone: "a".parse().expect("the name is valid"),
        cell: "c".parse().expect("the name is valid"),
        model: "m".parse().expect("the name is valid"),
        fenced: true,
        rates: ENGINE_RATES,
    }
}
