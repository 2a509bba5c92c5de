//! Long prompts with shared prefixes, in virtual time: the weighing of cached prefixes against the
//! wait, compared with the fixed cost of a fetch. Fleets and demand are those of three deployments;
//! each instance has its own view of the engines, which messages update with a delay.

use {
    lentil_core::{
        admit::join_queue,
        clock::Time,
        fleet::{
            CacheIndex, EngineView, InFlight, KvCache, PrefixNote, PrefixProgress, Registration,
        },
        ids::{Bytes, Incarnation, InstanceId, Millis, PrefixHash, Rank, TokenRate, Tokens},
        manifest::{ClassSpec, Role},
        route::{choose, RoutingOrigin, RoutingRequest},
    },
    rand::{rngs::SmallRng, Rng, SeedableRng},
    std::{
        collections::{BTreeMap, VecDeque},
        fmt,
        time::Duration,
    },
};

const PART_TOKENS: u64 = 13_300;
const OWN_TOKENS: u64 = 3_720;
const PROMPT: u64 = PART_TOKENS + OWN_TOKENS;
/// Delay until the other instances know what one has sent.
const MESSAGE_DELAY: Duration = Duration::from_millis(200);
/// Time in which the prefixes are read for the first time; not counted.
const WARM_UP_S: f64 = 20.0;
const LENGTH_S: f64 = 50.0;
/// Prompts whose own parts are in an engine's memory at a time.
const PROMPTS_IN_WORK: u64 = 2;
/// Mean time to the first token with the weighing, at most, as a share of that with a fixed cost.
/// Where prefixes fill the memories twice over, both read most of them again.
const MAX_MEAN_SHARE: f64 = 1.05;
/// Loss in the share of requests in time that is within the noise of one run.
const MAX_LOSS: f64 = 0.005;
/// Running streams on each decoding engine.
const STREAMS: u32 = 20;
/// Prefill rate of an engine that decodes, as a share of its full rate.
const DECODING_SHARE: f64 = 0.5;
/// Demand varies by this share around its mean, in a cycle of this length.
const SWING: f64 = 0.27;
const CYCLE_S: f64 = 12.0;
/// A burst in each minute multiplies the demand.
const BURST: (f64, f64, f64) = (30.0, 33.0, 1.8);

/// A deployment, with the engines that prefill in it.
#[derive(Clone, Copy)]
struct Deployment {
    name: &'static str,
    instances: usize,
    zones: usize,
    prefilling: usize,
    memory: u64,
    token_bytes: u64,
    link: f64,
    tokens_per_s: f64,
    prefixes: u64,
    requests_per_s: f64,
    target_ms: u64,
}

const S: Deployment = Deployment {
    name: "S",
    instances: 63,
    zones: 4,
    prefilling: 20,
    memory: 352_618,
    token_bytes: 18_432,
    link: 370e9 / 8.0,
    tokens_per_s: 36_700.0,
    prefixes: 349,
    requests_per_s: 36.0,
    target_ms: 800,
};
const C: Deployment = Deployment {
    name: "C",
    instances: 75,
    zones: 3,
    prefilling: 10,
    memory: 444_000,
    token_bytes: 131_072,
    link: 900e9 / 8.0,
    tokens_per_s: 93_000.0,
    prefixes: 669,
    requests_per_s: 37.0,
    target_ms: 1_200,
};
const T: Deployment = Deployment {
    name: "T",
    instances: 78,
    zones: 3,
    prefilling: 18,
    memory: 366_134,
    token_bytes: 327_680,
    link: 1_800e9 / 8.0,
    tokens_per_s: 63_900.0,
    prefixes: 500,
    requests_per_s: 48.8,
    target_ms: 600,
};

impl Deployment {
    fn kv(&self) -> KvCache {
        let (memory, token_bytes) = (Tokens(self.memory), Bytes(self.token_bytes));
        KvCache { memory, token_bytes, link: self.link }
    }

    fn zone(&self, index: usize) -> String {
        format!("z{}", index % self.zones)
    }

    fn engines(&self, weighed: bool) -> Vec<EngineView> {
        let roles = (0..self.prefilling).map(|_| Role::Prefill).chain([Role::Decode; 4]);
        let engine = |(i, role): (usize, Role)| {
            let mut engine = EngineView::from_registration(&Registration {
                id: format!("{role}-{i}").parse().unwrap(),
                boot: Incarnation(1),
                service: "s".parse().unwrap(),
                address: "127.0.0.1:1".parse().unwrap(),
                region: "r".parse().unwrap(),
                zone: self.zone(i).parse().unwrap(),
                role,
                slots: 48,
                software: "v1".parse().unwrap(),
                leaving: false,
                spot: None,
                leaves: None,
                weights: None,
            });
            engine.rates.prefill = TokenRate(self.tokens_per_s);
            engine.kv = weighed.then(|| self.kv());
            let in_flight = engine.load.in_flight.as_mut().unwrap();
            let streams = if role == Role::Decode { STREAMS } else { 0 };
            let runs = InFlight { runs: streams, ..InFlight::default() };
            in_flight.update(&"streams".parse().unwrap(), runs, Time::from_secs_f64(LENGTH_S));
            engine
        };
        roles.enumerate().map(engine).collect()
    }

    fn request(&self, number: u64, prefix: u64) -> RoutingRequest {
        RoutingRequest {
            model: "s".parse().unwrap(),
            adapter: None,
            prompt: Tokens(PROMPT),
            output: Tokens(7),
            blocks: [PrefixHash(prefix), PrefixHash(u64::MAX - number)].into_iter().collect(),
            lengths: [PART_TOKENS as u32, OWN_TOKENS as u32].into_iter().collect(),
            resumable: false,
            software: None,
            excluded: Default::default(),
            class: ClassSpec {
                first: Millis(self.target_ms),
                between: Millis(250),
                deadline: Millis(6_000),
                priority: 1,
            },
            rank: Rank::FIRST,
        }
    }
}

/// What an engine really does: its memory, the least recently used prefix first, its queue and its
/// link.
#[derive(Default, Clone)]
struct Truth {
    held: VecDeque<u64>,
    free_at: f64,
    /// When its link is in use, in order.
    link: Vec<(f64, f64)>,
}

impl Truth {
    fn holds(&self, prefix: u64) -> bool {
        self.held.contains(&prefix)
    }

    /// Occupies the link for `time` in the first gap from `from` on; returns when that ends.
    fn transfer(&mut self, from: f64, time: f64) -> f64 {
        self.link.retain(|(_, end)| *end > from - 10.0);
        let mut begin = from;
        for (used, end) in &self.link {
            if begin + time <= *used {
                break;
            }
            begin = begin.max(*end);
        }
        let at = self.link.partition_point(|(used, _)| *used < begin);
        self.link.insert(at, (begin, begin + time));
        begin + time
    }

    /// Places a prompt in memory, and evicts what no longer fits.
    fn place(&mut self, prefix: u64, memory: u64) {
        self.held.retain(|p| *p != prefix);
        self.held.push_back(prefix);
        let fit = memory.saturating_sub(PROMPTS_IN_WORK * OWN_TOKENS) / PART_TOKENS;
        while self.held.len() as u64 > fit {
            self.held.pop_front();
        }
    }
}

/// One instance's view of the engines and of the prefixes.
struct Instance {
    engines: Vec<EngineView>,
    cache: CacheIndex,
}

/// What an instance or all the others learn at a point in time.
#[derive(Clone)]
struct Event {
    from: usize,
    engine: usize,
    prefix: u64,
    progress: PrefixProgress,
    work: Tokens,
}

struct Score {
    /// Share of the requests, the refused ones included, whose first token was in time.
    in_time: f64,
    /// Time to the first token of those that were served.
    mean_ms: f64,
    p95_ms: f64,
    /// Share of prompts whose shared prefix was prefilled again.
    reread: f64,
    fetched: f64,
}

impl fmt::Display for Score {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { in_time, mean_ms, p95_ms, reread, fetched } = self;
        write!(f, "in time {in_time:.3}, mean {mean_ms:.0} ms, p95 {p95_ms:.0} ms, ")?;
        write!(f, "prefilled again {reread:.3}, fetched {fetched:.3}")
    }
}

struct Simulation {
    deployment: Deployment,
    weighed: bool,
    truth: Vec<Truth>,
    instances: Vec<Instance>,
    /// Events by microsecond and number.
    events: BTreeMap<(u64, u64), (Event, bool)>,
    number: u64,
    repeated_at: Time,
}

impl Simulation {
    fn new(deployment: Deployment, weighed: bool) -> Self {
        let engines = deployment.engines(weighed);
        let instance = || Instance { engines: engines.clone(), cache: CacheIndex::default() };
        Self {
            deployment,
            weighed,
            truth: vec![Truth::default(); engines.len()],
            instances: (0..deployment.instances).map(|_| instance()).collect(),
            events: BTreeMap::new(),
            number: 0,
            repeated_at: Time::ZERO,
        }
    }

    fn schedule(&mut self, at: Time, event: Event, to_others: bool) {
        self.number += 1;
        self.events.insert((at.as_micros(), self.number), (event, to_others));
    }

    /// Has all instances repeat their totals, without which these expire.
    fn repeat_totals(&mut self, now: Time) {
        for from in 0..self.instances.len() {
            let id: InstanceId = format!("i{from}").parse().unwrap();
            for engine in 0..self.truth.len() {
                let own = &self.instances[from].engines[engine].load.in_flight;
                let work = own.as_ref().unwrap().own;
                if work == InFlight::default() {
                    continue;
                }
                for to in (0..self.instances.len()).filter(|to| *to != from) {
                    let engine = &mut self.instances[to].engines[engine];
                    engine.load.in_flight.as_mut().unwrap().update(&id, work, now);
                }
            }
        }
    }

    /// Applies what becomes known until `now`.
    fn advance(&mut self, now: Time) {
        if now - self.repeated_at > Duration::from_secs(1) {
            self.repeated_at = now;
            self.repeat_totals(now);
        }
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > now.as_micros() {
                return;
            }
            let ((micros, _), (event, to_others)) = entry.remove_entry();
            let at = Time::from_micros(micros);
            if !to_others {
                self.learn(event.from, &event, None, at);
                self.schedule(at + MESSAGE_DELAY, event, true);
                continue;
            }
            let own = &self.instances[event.from].engines[event.engine];
            let work = own.load.in_flight.as_ref().unwrap().own;
            for to in (0..self.instances.len()).filter(|to| *to != event.from) {
                self.learn(to, &event, Some(work), at);
            }
        }
    }

    /// Has instance `to` learn of an event: of its own, or of another one's with that one's work.
    fn learn(&mut self, to: usize, event: &Event, work: Option<InFlight>, at: Time) {
        let Instance { engines, cache } = &mut self.instances[to];
        let engine = &mut engines[event.engine];
        let in_flight = engine.load.in_flight.as_mut().unwrap();
        let from: InstanceId = format!("i{}", event.from).parse().unwrap();
        match (work, event.progress) {
            (Some(work), _) => in_flight.update(&from, work, at),
            (None, PrefixProgress::Prefilling) => in_flight.record_start(event.work, Rank::FIRST),
            (None, PrefixProgress::Ready) => in_flight.record_finish(event.work, Rank::FIRST),
        }
        let (prefix, tokens) =
            (PrefixHash(event.prefix), work.is_none().then_some(Tokens(PART_TOKENS)));
        engine.record_prefix(prefix, event.progress, tokens, at);
        let note = PrefixNote { prefix, engine: engine.id.clone(), progress: event.progress };
        cache.locations.record(&note, at);
    }

    /// Runs one request; returns its time to the first token, and whether its prefix was prefilled
    /// again and fetched. `None` if it is refused.
    fn run(
        &mut self,
        request: &RoutingRequest,
        from: usize,
        rng: &mut SmallRng,
        at: f64,
    ) -> Option<(f64, bool, bool)> {
        let prefix = request.blocks[0].0;
        let d = self.deployment;
        let now = Time::from_secs_f64(at);
        self.advance(now);
        let origin = RoutingOrigin {
            region: "r".parse().unwrap(),
            zone: d.zone(from).parse().unwrap(),
            instances: d.instances as u32,
            partial: false,
            salt: rng.gen(),
        };
        let Instance { engines, cache } = &self.instances[from];
        let pick = choose(engines, cache, request, &origin, now).unwrap();
        join_queue(&request.class, &pick, Duration::from_secs(6)).ok()?;
        let index = pick.prefill.unwrap_or(pick.decode);
        let share = if pick.prefill.is_some() { 1.0 } else { DECODING_SHARE };
        let start = self.truth[index].free_at.max(at);
        let held = self.truth[index].holds(prefix);
        let source = pick.fetch.filter(|i| !held && self.truth[*i].holds(prefix));
        let fetch_s = source.map(|i| {
            let between = i % d.zones != index % d.zones;
            let time = d.kv().transfer_s(Tokens(PART_TOKENS), between);
            self.truth[i].transfer(start, time) - start
        });
        let read = !held && source.is_none();
        let tokens = OWN_TOKENS + if read { PART_TOKENS } else { 0 };
        let done = start + fetch_s.unwrap_or(0.0) + tokens as f64 / (d.tokens_per_s * share);
        let engine = &mut self.truth[index];
        engine.free_at = done;
        engine.place(prefix, d.memory);
        let handed_over = engine.transfer(done, d.kv().transfer_s(Tokens(PROMPT), true));
        let work = Tokens(PROMPT) - pick.hit;
        let event =
            Event { from, engine: index, prefix, progress: PrefixProgress::Prefilling, work };
        if let Some(i) = pick.fetch.filter(|_| self.weighed) {
            let time = d.kv().transfer_s(Tokens(PART_TOKENS), i % d.zones != index % d.zones);
            let engines = &mut self.instances[from].engines;
            for i in [i, index] {
                let time = Duration::from_secs_f64(time);
                engines[i].held_prefixes.record_transfer(time, now);
            }
        }
        self.schedule(now, event.clone(), false);
        let ready = Event { progress: PrefixProgress::Ready, ..event };
        self.schedule(Time::from_secs_f64(done), ready, false);
        Some((handed_over - at, read, source.is_some()))
    }
}

fn simulate(deployment: Deployment, weighed: bool, skew: f64, seed: u64) -> Score {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut simulation = Simulation::new(deployment, weighed);
    let weights: Vec<f64> = (1..=deployment.prefixes).map(|i| (i as f64).powf(-skew)).collect();
    let total: f64 = weights.iter().sum();
    let (mut at, mut number) = (0.0, 0);
    let (mut times, mut sent, mut reread, mut fetched) = (Vec::new(), 0, 0, 0);
    while at < LENGTH_S {
        let zone = rng.gen_range(0..deployment.zones);
        let phase = at / CYCLE_S + zone as f64 / deployment.zones as f64;
        let burst = if (BURST.0..BURST.1).contains(&at) { BURST.2 } else { 1.0 };
        let peak = deployment.requests_per_s * (1.0 + SWING) * BURST.2;
        at += -rng.gen_range(1e-9_f64..1.0).ln() / peak;
        let demand = (1.0 + SWING * (phase * std::f64::consts::TAU).sin()) * burst;
        if rng.gen::<f64>() * (1.0 + SWING) * BURST.2 > demand {
            continue;
        }
        let mut left = rng.gen::<f64>() * total;
        let prefix = weights.iter().position(|w| {
            left -= w;
            left < 0.0
        });
        let in_zone = (deployment.instances - zone).div_ceil(deployment.zones);
        let from = zone + rng.gen_range(0..in_zone) * deployment.zones;
        let prefix = prefix.unwrap_or(0) as u64;
        let request = deployment.request(number, prefix);
        let served = simulation.run(&request, from, &mut rng, at);
        number += 1;
        if at < WARM_UP_S {
            continue;
        }
        sent += 1;
        let Some((time, read, fetch)) = served else { continue };
        times.push(time * 1e3);
        reread += usize::from(read);
        fetched += usize::from(fetch);
    }
    times.sort_by(f64::total_cmp);
    let count = times.len() as f64;
    let in_time = times.iter().filter(|t| **t <= deployment.target_ms as f64).count();
    Score {
        in_time: in_time as f64 / f64::from(sent),
        mean_ms: times.iter().sum::<f64>() / count,
        p95_ms: times[(count * 0.95) as usize],
        reread: reread as f64 / count,
        fetched: fetched as f64 / count,
    }
}

/// Guards against a weighing that costs callers more than the fixed cost of a fetch did.
#[test]
fn weighed_prefixes_answer_sooner_than_a_fixed_cost() {
    for deployment in [S, C, T] {
        for skew in [0.0, 0.7] {
            for seed in 1..=2 {
                let on = simulate(deployment, true, skew, seed);
                let off = simulate(deployment, false, skew, seed);
                let name = deployment.name;
                println!("{name} skew {skew} seed {seed}:\n  on  {on}\n  off {off}");
                let case = format!("{name}, skew {skew}, seed {seed}");
                assert!(on.mean_ms <= off.mean_ms * MAX_MEAN_SHARE, "{case}: mean time");
                assert!(on.in_time >= off.in_time - MAX_LOSS, "{case}: in time");
                assert!(on.reread <= off.reread, "{case}: prefixes prefilled again");
            }
        }
    }
}

/// Guards against waits for a held prefix that take longer than its fetch or prefill elsewhere, and
/// against fetches of what is certainly evicted.
#[test]
fn choose_weighs_the_wait_the_fetch_and_the_eviction() {
    let now = Time::from_millis(1_000);
    let origin = RoutingOrigin {
        region: "r".parse().unwrap(),
        zone: "z0".parse().unwrap(),
        instances: 1,
        partial: false,
        salt: 1,
    };
    let held = |queued: u64, newer: u64| {
        let mut engines = T.engines(true);
        let holder = &mut engines[3];
        let ready = PrefixProgress::Ready;
        (0..=newer).for_each(|i| {
            holder.record_prefix(PrefixHash(i), ready, Some(Tokens(PART_TOKENS)), now);
        });
        let in_flight = holder.load.in_flight.as_mut().unwrap();
        in_flight.record_start(Tokens(queued), Rank::FIRST);
        let pick = choose(&engines, &CacheIndex::default(), &T.request(0, 0), &origin, now);
        let pick = pick.unwrap();
        (pick.prefill == Some(3), pick.fetch == Some(3))
    };
    assert_eq!(held(0, 0), (true, false), "an idle engine that holds the prefix");
    assert_eq!(held(1_000, 0), (true, false), "a queue of 16 ms is shorter than a fetch");
    assert_eq!(held(10_000, 0), (false, true), "a queue of 156 ms takes longer than a fetch");
    assert_eq!(held(10_000, 40), (false, false), "the prefix is evicted");
}
