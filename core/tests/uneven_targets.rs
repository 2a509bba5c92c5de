//! Plain requests at targets of uneven speed, in virtual time: the choice by current pace and lasting
//! speed, compared with the choice without them, least loaded, and power of two choices. Each of
//! many instances has its own view of few targets, as in two deployments.

use {
    lentil_core::{
        clock::Time,
        fleet::{CacheIndex, EngineView, InFlight, Registration},
        ids::{Incarnation, InstanceId, Millis, Rank, TokenRate, Tokens},
        manifest::{ClassSpec, Role},
        route::{choose, RoutingOrigin, RoutingRequest},
    },
    rand::{rngs::SmallRng, seq::SliceRandom, Rng, SeedableRng},
    std::{cmp::Reverse, collections::BinaryHeap, fmt},
};

const SLOTS: usize = 6;
/// Interval at which instances report to the others what they have in flight.
const REPORT_INTERVAL_US: u64 = 150_000;
/// Mean length of slow phases and of the phases between them.
const PHASES_S: (f64, f64) = (0.5, 1.2);
const SLOW_PACE: f64 = 2.5;
/// Lasting speeds of the targets.
const SPEEDS: [f64; 6] = [1.0, 0.6, 1.6, 0.8, 1.2, 1.4];
/// Time after a slow phase in which a target must not be flooded.
const RECOVERY_S: f64 = 0.3;
const NETWORK_S: f64 = 0.0014;
const WARM_UP_S: f64 = 15.0;
const LENGTH_S: f64 = 60.0;
const SWING: f64 = 0.27;
const CYCLE_S: f64 = 12.0;
/// Bursts of two seconds in each cycle of ten.
const BURST: f64 = 1.8;

/// Mean time with the choice by pace, at most, as a share of that of each other choice.
const MAX_MEAN_SHARE: f64 = 0.95;
/// Increase over power of two choices in the share of requests that wait at a target that recovers.
const MAX_FLOOD: f64 = 0.05;

#[derive(Clone, Copy)]
struct Deployment {
    name: &'static str,
    instances: usize,
    targets: usize,
    work_s: f64,
    requests_per_s: f64,
    objective_s: f64,
}

const C: Deployment = Deployment {
    name: "C",
    instances: 75,
    targets: 6,
    work_s: 0.06,
    requests_per_s: 124.0,
    objective_s: 0.3,
};
const T: Deployment = Deployment {
    name: "T",
    instances: 78,
    targets: 3,
    work_s: 0.03,
    requests_per_s: 166.0,
    objective_s: 0.15,
};

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Choice {
    /// The choice for targets that announce no pace.
    Present,
    /// By the paces and speeds that an instance has seen itself.
    Pace,
    /// The same, and each instance tells the others of a pace that they don't know.
    SharedPace,
    LeastLoaded,
    TwoChoices,
}

/// What a target really does.
struct Truth {
    slots: [f64; SLOTS],
    speed: f64,
    /// Ends of the phases, normal ones first.
    phases: Vec<f64>,
}

impl Truth {
    fn pace(&self, at: f64) -> f64 {
        let index = self.phases.partition_point(|end| *end <= at);
        if index % 2 == 1 {
            SLOW_PACE
        } else {
            1.0
        }
    }

    /// Returns whether a slow phase has just ended.
    fn recovers(&self, at: f64) -> bool {
        self.pace(at) == 1.0 && self.pace((at - RECOVERY_S).max(0.0)) > 1.0
    }

    /// Returns whether a request that arrives at `at` finds no free slot.
    fn is_full(&self, at: f64) -> bool {
        self.slots.iter().all(|free| *free > at)
    }

    /// Serves a request that arrives at `at`; returns when it is done.
    fn serve(&mut self, at: f64, work: f64) -> f64 {
        let slot = (0..SLOTS).min_by(|a, b| self.slots[*a].total_cmp(&self.slots[*b])).unwrap();
        let start = self.slots[slot].max(at);
        self.slots[slot] = start + work / self.speed * self.pace(start);
        self.slots[slot]
    }
}

#[derive(Default)]
struct Score {
    in_time: f64,
    mean_ms: f64,
    p99_ms: f64,
    /// Share of the requests that found no free slot.
    waited: f64,
    /// The same of those that reached a target within [`RECOVERY_S`] after a slow phase of it.
    flooded: f64,
    /// Messages about paces that one instance gets per second.
    messages: f64,
}

impl fmt::Display for Score {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { in_time, mean_ms, p99_ms, waited, flooded, messages } = self;
        write!(f, "in time {in_time:.4}, mean {mean_ms:.1} ms, p99 {p99_ms:.0} ms, ")?;
        write!(f, "waited {waited:.3}, after recovery {flooded:.3}, messages {messages:.1}/s")
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Report(usize),
    /// Target, instance, and time of the request in microseconds.
    Answer(usize, usize, u64),
    /// Target, sender and pace in percent.
    Pace(usize, usize, u64),
}

fn view(d: Deployment, index: usize) -> EngineView {
    let mut engine = EngineView::from_registration(&Registration {
        id: format!("t{index}").parse().unwrap(),
        boot: Incarnation(1),
        service: "s".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: "r".parse().unwrap(),
        zone: format!("z{}", index % 3).parse().unwrap(),
        role: Role::Decode,
        slots: SLOTS as u32,
        software: "v1".parse().unwrap(),
        leaving: false,
        spot: None,
        leaves: None,
        weights: None,
    });
    engine.rates.decode = TokenRate(SLOTS as f64 / d.work_s);
    engine
}

fn request(d: Deployment) -> RoutingRequest {
    RoutingRequest {
        model: "s".parse().unwrap(),
        adapter: None,
        prompt: Tokens(0),
        output: Tokens(1),
        blocks: Default::default(),
        lengths: Default::default(),
        resumable: false,
        software: None,
        excluded: Default::default(),
        class: ClassSpec {
            first: Millis((d.objective_s * 1e3) as u64),
            between: Millis(1_000),
            deadline: Millis(2_000),
            priority: 1,
        },
        rank: Rank::FIRST,
    }
}

/// Picks a target for a request of an instance.
fn pick(
    choice: Choice,
    engines: &[EngineView],
    request: &RoutingRequest,
    zone: usize,
    rng: &mut SmallRng,
    now: Time,
) -> usize {
    let load = |i: &usize| engines[*i].load.in_flight.as_ref().unwrap().total(now).runs;
    let mut order: Vec<usize> = (0..engines.len()).collect();
    order.shuffle(rng);
    match choice {
        Choice::LeastLoaded => order.into_iter().min_by_key(load).unwrap(),
        Choice::TwoChoices => order.into_iter().take(2).min_by_key(load).unwrap(),
        _ => {
            let origin = RoutingOrigin {
                region: "r".parse().unwrap(),
                zone: format!("z{zone}").parse().unwrap(),
                instances: 78,
                partial: false,
                salt: rng.gen(),
            };
            choose(engines, &CacheIndex::default(), request, &origin, now).unwrap().decode
        }
    }
}

fn simulate(d: Deployment, choice: Choice, seed: u64) -> Score {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut truth: Vec<Truth> = (0..d.targets)
        .map(|i| {
            let (mut at, mut phases) = (0.0, Vec::new());
            while at < LENGTH_S + 10.0 {
                let mean = if phases.len() % 2 == 1 { PHASES_S.0 } else { PHASES_S.1 };
                at += mean * rng.gen_range(0.5..1.5);
                phases.push(at);
            }
            Truth { slots: [0.0; SLOTS], speed: SPEEDS[i], phases }
        })
        .collect();
    let engines: Vec<EngineView> = (0..d.targets).map(|i| view(d, i)).collect();
    let mut views = vec![engines; d.instances];
    let ids: Vec<InstanceId> = (0..d.instances).map(|i| format!("i{i}").parse().unwrap()).collect();
    let mut reported = vec![vec![InFlight::default(); d.targets]; d.instances];
    let mut events: BinaryHeap<Reverse<(u64, Event)>> = BinaryHeap::new();
    for i in 0..d.instances {
        events.push(Reverse((rng.gen_range(0..REPORT_INTERVAL_US), Event::Report(i))));
    }
    let uses_pace = matches!(choice, Choice::Pace | Choice::SharedPace);
    let request = request(d);
    let (mut waited, mut recovering, mut flooded) = (0, 0, 0);
    let (mut times, mut messages, mut at) = (Vec::new(), 0_u64, 0.0_f64);
    while at < LENGTH_S {
        let peak = d.requests_per_s * (1.0 + SWING) * BURST;
        at += -rng.gen_range(1e-9_f64..1.0).ln() / peak;
        let burst = if at % 10.0 > 8.0 { BURST } else { 1.0 };
        let demand = (1.0 + SWING * (at / CYCLE_S * std::f64::consts::TAU).sin()) * burst;
        if rng.gen::<f64>() * (1.0 + SWING) * BURST > demand {
            continue;
        }
        let now = Time::from_secs_f64(at);
        while events.peek().is_some_and(|Reverse((t, _))| *t <= now.as_micros()) {
            let Some(Reverse((micros, event))) = events.pop() else { break };
            let then = Time::from_micros(micros);
            match event {
                Event::Report(from) => {
                    for t in 0..d.targets {
                        let own = views[from][t].load.in_flight.as_ref().unwrap().own;
                        if own == reported[from][t] && own == InFlight::default() {
                            continue;
                        }
                        reported[from][t] = own;
                        for to in (0..d.instances).filter(|to| *to != from) {
                            let in_flight = views[to][t].load.in_flight.as_mut().unwrap();
                            in_flight.update(&ids[from], own, then);
                        }
                    }
                    let next = micros + REPORT_INTERVAL_US;
                    events.push(Reverse((next, Event::Report(from))));
                }
                Event::Answer(t, from, sent) => {
                    let engine = &mut views[from][t];
                    let in_flight = engine.load.in_flight.as_mut().unwrap();
                    in_flight.record_finish(Tokens(0), Rank::FIRST);
                    if !uses_pace {
                        continue;
                    }
                    let pace = truth[t].pace(then.as_secs_f64() - NETWORK_S);
                    let elapsed = (then - Time::from_micros(sent)).as_secs_f64();
                    let known = engine.pace.at(then);
                    engine.pace.record(pace, then);
                    engine.speed.plain.observe(elapsed, d.work_s, pace);
                    let speed = d.work_s * engine.speed.plain.get();
                    engine.rates.decode = TokenRate(SLOTS as f64 / speed);
                    let news = (pace / known).ln().abs() > 1.5_f64.ln();
                    if choice == Choice::SharedPace && news {
                        let pace = (pace * 100.0) as u64;
                        events.push(Reverse((micros + 1_400, Event::Pace(t, from, pace))));
                    }
                }
                Event::Pace(t, from, pace) => {
                    messages += 1;
                    for to in (0..d.instances).filter(|to| *to != from) {
                        views[to][t].pace.record(pace as f64 / 100.0, then);
                    }
                }
            }
        }
        let from = rng.gen_range(0..d.instances);
        let t = pick(choice, &views[from], &request, from % 3, &mut rng, now);
        let in_flight = views[from][t].load.in_flight.as_mut().unwrap();
        in_flight.record_start(Tokens(0), Rank::FIRST);
        let (full, recovers) =
            (truth[t].is_full(at + NETWORK_S), truth[t].recovers(at + NETWORK_S));
        let done = truth[t].serve(at + NETWORK_S, d.work_s) + NETWORK_S;
        let answered = Time::from_secs_f64(done).as_micros();
        events.push(Reverse((answered, Event::Answer(t, from, now.as_micros()))));
        if at >= WARM_UP_S {
            times.push(done - at);
            waited += usize::from(full);
            recovering += usize::from(recovers);
            flooded += usize::from(full && recovers);
        }
    }
    times.sort_by(f64::total_cmp);
    let count = times.len() as f64;
    Score {
        in_time: times.iter().filter(|t| **t <= d.objective_s).count() as f64 / count,
        mean_ms: times.iter().sum::<f64>() / count * 1e3,
        p99_ms: times[(count * 0.99) as usize] * 1e3,
        waited: waited as f64 / count,
        flooded: flooded as f64 / recovering.max(1) as f64,
        messages: messages as f64 / LENGTH_S,
    }
}

/// Guards against a choice by pace that herds instances to the same target, or that is no better
/// than simpler ones.
#[test]
fn choice_by_pace_answers_sooner_than_simpler_choices() {
    for d in [C, T] {
        for seed in 1..=2 {
            use Choice::{LeastLoaded, Pace, Present, SharedPace, TwoChoices};
            let run = |choice| {
                let score = simulate(d, choice, seed);
                println!("{} seed {seed} {choice:?}: {score}", d.name);
                score
            };
            let (pace, _) = (run(Pace), run(SharedPace));
            for choice in [Present, LeastLoaded, TwoChoices] {
                let other = run(choice);
                let case = format!("{}, seed {seed}, {choice:?}", d.name);
                assert!(pace.mean_ms <= other.mean_ms * MAX_MEAN_SHARE, "{case}: mean");
                assert!(pace.in_time >= other.in_time, "{case}: in time");
                // Two choices spread requests most evenly, slow targets included.
                let spreads_more = choice == TwoChoices;
                let max_flood = other.flooded + if spreads_more { MAX_FLOOD } else { 0.0 };
                assert!(pace.flooded <= max_flood, "{case}: after recovery");
            }
        }
    }
}

/// Guards against a change of the choice among targets that send three figures, and against a pace
/// that is taken for true when it is old.
#[test]
fn choose_prefers_the_faster_target_while_the_pace_is_fresh() {
    let now = Time::from_millis(10_000);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut share = |paces: [Option<(f64, u64)>; 2]| {
        let mut engines = [view(T, 0), view(T, 3)];
        for (engine, pace) in engines.iter_mut().zip(paces) {
            if let Some((pace, age)) = pace {
                engine.speed.plain.observe(T.work_s, T.work_s, 1.0);
                engine.pace.record(pace, now.earlier(std::time::Duration::from_millis(age)));
            }
        }
        let first = |_: &i32| pick(Choice::Pace, &engines, &request(T), 0, &mut rng, now) == 0;
        (0..1_000).filter(first).count()
    };
    let even = 400..=600;
    assert!(even.contains(&share([None, None])), "no paces");
    assert!(even.contains(&share([Some((1.0, 0)), Some((1.0, 0))])), "equal paces");
    assert!(even.contains(&share([Some((2.5, 700)), Some((1.0, 0))])), "an old pace");
    let slow = share([Some((2.5, 0)), Some((1.0, 0))]);
    assert!((1..=300).contains(&slow), "a slow target keeps a part of its work: {slow}");
}
