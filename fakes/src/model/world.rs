use {
    super::{
        score, Decode, Fate, Follower, Happened, ModelEngine, Policy, Prefill, Routing, Score,
        Sight, Trace, AWAY, BETWEEN, FIRST, KINDS, LENGTH,
    },
    lentil_core::{
        admit::{admit, AdmissionRequest, Shares},
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

const TICK: f64 = 0.01; // seconds
const REPORT_EVERY: usize = 25; // ticks
const DECIDE_EVERY: usize = 100; // ticks
/// Entry instances.
const INSTANCES: usize = 6;
/// Seconds of arrivals that the demand's mean reaches back.
const SPAN: f64 = 4.0;
/// Seconds after which every instance has heard that an engine is emptied.
const SPREAD: f64 = 1.0;
/// Seconds for which a lost engine is gone.
const LOST: f64 = 60.0;
/// Blocks of an engine's prefix cache.
const BLOCKS: usize = 400;

/// What goes wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Faults {
    /// Age of the load reports, in seconds.
    pub lag: f64,
    /// Seconds between which the store is down and no order can be given.
    pub outage: (f64, f64),
    /// Whether the first engine that changes is lost in the midst of it.
    pub lose: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self { lag: 0.25, outage: (0.0, 0.0), lose: false }
    }
}

/// What is run.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Engines.
    pub engines: usize,
    /// Weight of a role change.
    pub weight: f64,
    /// How roles follow the mix.
    pub policy: Policy,
    /// How engines are chosen.
    pub routing: Routing,
    /// Whether requests are refused that would come too late.
    pub admission: bool,
    /// What goes wrong.
    pub faults: Faults,
    /// Engines that fail half of what they begin, by index.
    pub failing: Option<usize>,
    /// Seed of the run's own choices.
    pub seed: u64,
}

/// Rates of each engine.
pub const RATES: EngineRates = EngineRates {
    prefill: TokenRate(20_000.0),
    decode: TokenRate(640.0),
    slots: 32,
    cache: Tokens(1_000_000),
};

struct Instance {
    views: Vec<EngineView>,
    cache: CacheIndex,
    shares: Shares,
    retries: RetryBudget,
    meter: DemandMeter,
}

/// A request on its way to a decoding engine.
struct Moving {
    at: f64,
    request: usize,
    engine: usize,
}

struct World<'a> {
    setup: &'a Setup,
    trace: &'a Trace,
    now: f64,
    engines: Vec<ModelEngine>,
    emptied: Vec<f64>,
    instances: Vec<Instance>,
    history: VecDeque<(f64, Vec<Load>)>,
    moving: Vec<Moving>,
    fates: Vec<Fate>,
    made: Vec<f64>,
    lost_one: bool,
    hits: (u64, u64),
    busy: Vec<f64>,
    changes: u32,
    rng: SmallRng,
    workspaces: Vec<WorkspaceId>,
}

/// Runs a trace and scores it.
///
/// # Panics
/// Never: the names that it makes are good.
pub fn run(setup: &Setup, trace: &Trace) -> Score {
    let start = best_split(
        trace.demand(0.0),
        &RATES,
        Split { prefill: setup.engines / 3, decode: setup.engines - setup.engines / 3 },
    );
    let mut follower = Follower::new(setup.policy, setup.weight, RATES, start, trace);
    let mut world = World::new(setup, trace, start);
    let mut next = 0;
    let mut roles = Vec::new();
    let ticks = ((LENGTH + 60.0) / TICK) as usize;
    for tick in 0..ticks {
        world.now = tick as f64 * TICK;
        if tick % REPORT_EVERY == 0 {
            world.report();
        }
        if tick % DECIDE_EVERY == 0 && world.now < LENGTH {
            world.follow(&mut follower);
            roles.push(world.engines.iter().filter(|e| e.role == Role::Prefill).count());
        }
        while trace.arrivals.get(next).is_some_and(|a| a.at <= world.now) {
            world.arrive(next);
            next += 1;
        }
        world.step();
    }
    let mut found = score(trace, &world.fates);
    found.changes = world.changes;
    found.hits = world.hits.0 as f64 / world.hits.1.max(1) as f64;
    let mean = world.busy.iter().sum::<f64>() / world.busy.len() as f64;
    found.spread = world.busy.iter().copied().fold(0.0, f64::max) / mean.max(1e-9);
    found.roles = roles;
    found
}

impl<'a> World<'a> {
    fn new(setup: &'a Setup, trace: &'a Trace, start: Split) -> Self {
        let role = |i: usize| if i < start.prefill { Role::Prefill } else { Role::Decode };
        let engines =
            (0..setup.engines).map(|i| ModelEngine::new(role(i), RATES, BLOCKS)).collect();
        let view = |i: usize| EngineView { role: role(i), ..EngineView::new(name(i), &spec()) };
        let instance = || Instance {
            views: (0..setup.engines).map(view).collect(),
            cache: CacheIndex::default(),
            shares: Shares::default(),
            retries: RetryBudget::new(0.1),
            meter: DemandMeter::new(SPAN, Time::ZERO),
        };
        let workspaces = 8;
        Self {
            setup,
            trace,
            now: 0.0,
            engines,
            emptied: vec![0.0; setup.engines],
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            history: VecDeque::new(),
            moving: Vec::new(),
            fates: vec![Fate::default(); trace.arrivals.len()],
            made: vec![0.0; trace.arrivals.len()],
            lost_one: false,
            hits: (0, 0),
            busy: vec![0.0; setup.engines],
            changes: 0,
            rng: SmallRng::seed_from_u64(setup.seed),
            workspaces: (0..workspaces)
                .map(|i| format!("w{i}").parse().expect("the name is good"))
                .collect(),
        }
    }

    fn time(&self) -> Time {
        Time::from_secs_f64(self.now)
    }

    /// Lets each instance hear what the engines reported some time ago.
    fn report(&mut self) {
        self.history.push_back((self.now, self.engines.iter().map(ModelEngine::load).collect()));
        let lag = self.setup.faults.lag;
        while self.history.len() > 1 && self.now - self.history[1].0 >= lag {
            self.history.pop_front();
        }
        let (at, loads) = self.history[0].clone();
        for instance in &mut self.instances {
            for (i, view) in instance.views.iter_mut().enumerate() {
                let engine = &self.engines[i];
                view.role = engine.role;
                view.unavailable = !engine.up(self.now);
                view.draining = engine.goal.is_some();
                view.load.reported(loads[i], Time::from_secs_f64(at));
            }
        }
    }

    fn follow(&mut self, follower: &mut Follower) {
        self.finish_changes();
        let now = self.time();
        let demand = self
            .instances
            .iter()
            .map(|i| i.meter.demand(now))
            .fold(Default::default(), |a, b| a + b);
        let live: Vec<&ModelEngine> = self.engines.iter().filter(|e| self.now >= e.dead).collect();
        let prefill = live.iter().filter(|e| e.goal.unwrap_or(e.role) == Role::Prefill).count();
        let split = Split { prefill, decode: live.len() - prefill };
        let away = live.iter().filter(|e| e.goal.is_some() || !e.up(self.now)).count();
        let loads = self.history[0].1.clone();
        let sight = Sight { demand, split, away, loads: &loads, engines: &self.engines };
        let decided = follower.decide(&sight, self.now);
        let (from, to) = self.setup.faults.outage;
        if (from..to).contains(&self.now) {
            return;
        }
        let Some(role) = decided else { return };
        let free = |i: &usize| {
            let engine = &self.engines[*i];
            engine.role == role.other() && engine.goal.is_none() && engine.up(self.now)
        };
        let load = |i: &usize| {
            let load = self.engines[*i].load();
            (load.running + load.waiting, load.queued)
        };
        let Some(chosen) = (0..self.engines.len()).filter(free).min_by_key(load) else { return };
        self.engines[chosen].goal = Some(role);
        self.emptied[chosen] = self.now;
        self.changes += 1;
        for instance in &mut self.instances {
            instance.views[chosen].draining = true;
        }
    }

    /// Moves what decodes on emptied engines, and gives them the order once they are idle.
    fn finish_changes(&mut self) {
        for i in 0..self.engines.len() {
            let Some(goal) = self.engines[i].goal else { continue };
            if self.now - self.emptied[i] < SPREAD {
                continue;
            }
            self.move_away(i);
            if !self.engines[i].idle() {
                continue;
            }
            let engine = &mut self.engines[i];
            engine.goal = None;
            engine.role = goal;
            engine.away = self.now + AWAY;
            if self.setup.faults.lose && !self.lost_one {
                self.lost_one = true;
                engine.crash(self.now + LOST);
            }
        }
    }

    /// Lets an engine's streams go on at the decoding engines with the fewest, KV cache and all.
    fn move_away(&mut self, from: usize) {
        for decode in self.engines[from].give_away() {
            self.made[decode.request] = decode.made;
            let open =
                |e: &ModelEngine| e.role == Role::Decode && e.goal.is_none() && e.up(self.now);
            let load = |e: &ModelEngine| {
                let load = e.load();
                load.running + load.waiting
            };
            let engines = self.engines.iter().enumerate().filter(|(_, e)| open(e));
            let Some((engine, _)) = engines.min_by_key(|(_, e)| load(e)) else {
                self.engines[from].decode(decode);
                continue;
            };
            let tokens = self.trace.arrivals[decode.request].prompt as f64 + decode.made;
            let at = self.now + KV_TRANSFER_BASE_S + tokens * KV_TRANSFER_S_PER_TOKEN;
            self.moving.push(Moving { at, request: decode.request, engine });
        }
    }

    fn work(&self, request: usize) -> RoutingRequest {
        let arrival = &self.trace.arrivals[request];
        let kind = &KINDS[arrival.kind];
        let millis = |seconds: f64| Millis((seconds * 1_000.0) as u64);
        RoutingRequest {
            model: "m".parse().expect("the name is good"),
            adapter: None,
            prompt: Tokens(arrival.prompt),
            output: Tokens(kind.output as u64),
            blocks: arrival.blocks.clone(),
            lengths: Default::default(),
            excluded: Default::default(),
            class: ClassSpec {
                first: millis(FIRST),
                between: millis(BETWEEN),
                deadline: millis(kind.deadline),
                priority: kind.priority,
            },
            rank: Rank::FIRST,
        }
    }

    fn arrive(&mut self, request: usize) {
        let at = self.rng.gen_range(0..INSTANCES);
        self.instances[at].retries.record_request();
        self.dispatch(request, at, true);
    }

    fn dispatch(&mut self, request: usize, at: usize, fresh: bool) {
        let now = self.time();
        let work = self.work(request);
        let place = RoutingOrigin {
            region: "nl".parse().expect("the name is good"),
            zone: "a".parse().expect("the name is good"),
            instances: INSTANCES as u32,
            salt: self.rng.gen(),
        };
        let instance = &mut self.instances[at];
        let picked = self.setup.routing.pick(
            &instance.views,
            &instance.cache,
            &work,
            &place,
            &mut self.rng,
            now,
        );
        let hit = picked.as_ref().map_or(Tokens(0), |p| p.hit);
        if fresh {
            let first = work.class.first.duration();
            let one = Request { prompt: work.prompt - hit, output: work.output, first };
            instance.meter.arrived(one.demand(RATES.prefill.0), now);
        }
        let Ok(pick) = picked else {
            self.fates[request].refused = Some(self.now);
            return;
        };
        if fresh && self.setup.admission && !self.admitted(request, at, &work, &pick) {
            self.fates[request].refused = Some(self.now);
            return;
        }
        self.send(request, at, &work, pick);
    }

    fn admitted(&mut self, request: usize, at: usize, work: &RoutingRequest, pick: &Pick) -> bool {
        let now = self.time();
        let workspace = &self.workspaces[self.trace.arrivals[request].workspace];
        let waited = Duration::ZERO;
        let ask = AdmissionRequest { workspace, share: 1.0, class: &work.class, waited };
        let instance = &mut self.instances[at];
        let admitted = admit(&ask, pick, &instance.shares, now);
        if let Err(fault) = &admitted {
            debug_assert!(matches!(fault.kind, ErrorKind::NoCapacity | ErrorKind::OverShare));
            return false;
        }
        instance.shares.record_use(workspace, 1.0, pick.end.as_secs_f64(), now);
        true
    }

    fn send(&mut self, request: usize, at: usize, work: &RoutingRequest, pick: Pick) {
        let now = self.time();
        let instance = &mut self.instances[at];
        let filler = pick.prefill.unwrap_or(pick.decode);
        let todo = work.prompt - pick.hit;
        let view = &mut instance.views[filler];
        view.load.sent(todo, pick.prefill.is_none(), now);
        instance.cache.sent(&view.id, &work.blocks);
        if pick.prefill.is_some() {
            instance.views[pick.decode].load.sent(Tokens(0), true, now);
        }
        let engine = &mut self.engines[filler];
        let hit = engine.hit(&work.blocks).min(work.prompt.0);
        self.hits.0 += hit;
        self.hits.1 += work.prompt.0;
        engine.prefill(Prefill {
            request,
            left: (work.prompt.0 - hit) as f64,
            decode: pick.prefill.map(|_| pick.decode),
            blocks: work.blocks.clone(),
            priority: work.class.priority,
        });
    }

    fn step(&mut self) {
        let now = self.now;
        let arrived: Vec<Moving> = {
            let (ready, rest) =
                std::mem::take(&mut self.moving).into_iter().partition(|m| m.at <= now);
            self.moving = rest;
            ready
        };
        for moving in arrived {
            self.begin_decode(moving.request, moving.engine);
        }
        for i in 0..self.engines.len() {
            if !self.engines[i].up(now) {
                continue;
            }
            if !self.engines[i].idle() {
                self.busy[i] += TICK;
            }
            let mut happened = Happened::default();
            self.engines[i].step(TICK, &mut happened);
            for (request, decode) in happened.filled {
                match decode {
                    None => self.begin_decode(request, i),
                    Some(engine) => {
                        let prompt = self.trace.arrivals[request].prompt as f64;
                        let at = now + KV_TRANSFER_BASE_S + prompt * KV_TRANSFER_S_PER_TOKEN;
                        self.moving.push(Moving { at, request, engine });
                    }
                }
            }
            for request in happened.first {
                self.fates[request].first.get_or_insert(now + TICK);
            }
            for request in happened.ended {
                self.fates[request].end = Some(now + TICK);
            }
        }
    }

    fn begin_decode(&mut self, request: usize, engine: usize) {
        if self.setup.failing == Some(engine) && self.rng.gen_bool(0.5) {
            return self.retry(request, engine);
        }
        if self.now < self.engines[engine].dead {
            return self.retry(request, engine);
        }
        let output = self.trace.arrivals[request].output as f64;
        let made = self.made[request];
        self.engines[engine].decode(Decode { request, made, output });
    }

    /// Begins a request again that an engine failed, as the budget allows.
    fn retry(&mut self, request: usize, engine: usize) {
        let at = self.rng.gen_range(0..INSTANCES);
        let now = self.time();
        self.instances[at].views[engine].breaker.failed(now);
        if self.fates[request].retries >= 3 || !self.instances[at].retries.take() {
            self.fates[request].refused = Some(self.now);
            return;
        }
        self.fates[request].retries += 1;
        self.dispatch(request, at, false);
    }
}

fn name(i: usize) -> EngineId {
    format!("e{i}").parse().expect("the name is good")
}

fn spec() -> EngineSpec {
    EngineSpec {
        address: ([127, 0, 0, 1], 1).into(),
        region: "nl".parse().expect("the name is good"),
        zone: "a".parse().expect("the name is good"),
        cell: "c".parse().expect("the name is good"),
        model: "m".parse().expect("the name is good"),
        fenced: true,
        rates: RATES,
    }
}
