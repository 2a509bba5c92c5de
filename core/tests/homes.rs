//! Long prompts with shared parts at a fleet so large that an instance hears of a part of the others
//! only, in virtual time: which prompts are read again, and when callers get their first token.
//! Answers the load of 300 instances before 160 engines, with 1,200 shared parts of 13,300 tokens.

use {
    lentil_core::{
        clock::Time,
        fleet::{CacheIndex, EngineView, PrefixNote, PrefixProgress, Registration},
        ids::{Incarnation, Millis, PrefixHash, Rank, TokenRate, Tokens},
        manifest::{ClassSpec, Role},
        route::{choose, RoutingOrigin, RoutingRequest},
    },
    rand::{rngs::SmallRng, Rng, SeedableRng},
    std::{collections::VecDeque, time::Duration},
};

const INSTANCES: usize = 295;
/// Instances that hear of the prefixes that one of them sends.
const VIEW: usize = 64;
const PREFILLING: usize = 54;
const PARTS: u64 = 1_173;
const PART_TOKENS: u64 = 13_300;
const OWN_TOKENS: u64 = 3_720;
const TOKENS_PER_S: f64 = 36_700.0;
/// Shared parts that fit an engine's memory of 347,000 tokens, beside the prompts in work.
const PARTS_PER_ENGINE: usize = 24;
const REQUESTS_PER_S: f64 = 138.0;
/// Time to the first token within which an answer is in time.
const TARGET: Duration = Duration::from_millis(800);
/// Time in which the parts are read for the first time; not counted.
const WARM_UP_S: f64 = 25.0;
const LENGTH_S: f64 = 45.0;
/// Share of the prompts that must be in time: the engines' capacity is more than three times what
/// prompts without their shared parts take.
const MIN_IN_TIME: f64 = 0.9;

fn engine(i: usize, role: Role) -> EngineView {
    let mut engine = EngineView::from_registration(&Registration {
        id: format!("{role}-{i}").parse().unwrap(),
        boot: Incarnation(1),
        service: "s".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: "r".parse().unwrap(),
        zone: "z".parse().unwrap(),
        role,
        slots: 12,
        software: "v1".parse().unwrap(),
        leaving: false,
        weights: None,
        spot: None,
        leaves: None,
    });
    engine.rates.prefill = TokenRate(TOKENS_PER_S);
    engine
}

fn request(number: u64, part: u64) -> RoutingRequest {
    RoutingRequest {
        model: "s".parse().unwrap(),
        adapter: None,
        prompt: Tokens(PART_TOKENS + OWN_TOKENS),
        output: Tokens(7),
        blocks: [PrefixHash(part), PrefixHash(u64::MAX - number)].into_iter().collect(),
        lengths: [PART_TOKENS as u32, OWN_TOKENS as u32].into_iter().collect(),
        resumable: false,
        software: None,
        excluded: Default::default(),
        class: ClassSpec {
            first: Millis(TARGET.as_millis() as u64),
            between: Millis(250),
            deadline: Millis(6_000),
            priority: 1,
        },
        rank: Rank::FIRST,
    }
}

/// What an engine really does: its memory, the least recently used part first, and its queue.
#[derive(Default, Clone)]
struct Truth {
    parts: VecDeque<u64>,
    free_at: f64,
}

impl Truth {
    /// Prefills a prompt; returns when that is done, and whether its shared part was read again.
    fn prefill(&mut self, part: u64, fetched: bool, at: f64) -> (f64, bool) {
        let held = self.parts.iter().position(|p| *p == part);
        held.map(|i| self.parts.remove(i));
        self.parts.push_back(part);
        if self.parts.len() > PARTS_PER_ENGINE {
            self.parts.pop_front();
        }
        let reads = held.is_none() && !fetched;
        let tokens = OWN_TOKENS + if reads { PART_TOKENS } else { 0 };
        self.free_at = self.free_at.max(at) + tokens as f64 / TOKENS_PER_S;
        (self.free_at, reads)
    }
}

/// Returns the share of prompts in time, and the share whose shared part was read again.
fn simulate(partial: bool, seed: u64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut engines: Vec<EngineView> = (0..PREFILLING).map(|i| engine(i, Role::Prefill)).collect();
    engines.extend((0..4).map(|i| engine(i, Role::Decode)));
    let mut truth = vec![Truth::default(); engines.len()];
    let mut caches = vec![CacheIndex::default(); INSTANCES];
    let views: Vec<Vec<usize>> =
        (0..INSTANCES).map(|_| (0..VIEW).map(|_| rng.gen_range(0..INSTANCES)).collect()).collect();
    let (mut in_time, mut read_again, mut counted) = (0, 0, 0);
    for number in 0..(REQUESTS_PER_S * LENGTH_S) as u64 {
        let at = number as f64 / REQUESTS_PER_S;
        let now = Time::from_secs_f64(at);
        let (from, part) = (rng.gen_range(0..INSTANCES), rng.gen_range(0..PARTS));
        let origin = RoutingOrigin {
            region: "r".parse().unwrap(),
            zone: "z".parse().unwrap(),
            instances: VIEW as u32,
            partial,
            salt: rng.gen(),
        };
        let pick = choose(&engines, &caches[from], &request(number, part), &origin, now).unwrap();
        let index = pick.prefill.expect("long prompts are prefilled on an engine of their own");
        let fetched = pick.fetch.is_some_and(|i| truth[i].parts.contains(&part));
        let (done, read) = truth[index].prefill(part, fetched, at);
        let (prefix, id) = (PrefixHash(part), engines[index].id.clone());
        let note = PrefixNote { prefix, engine: id, progress: PrefixProgress::Ready };
        views[from].iter().chain([&from]).for_each(|i| caches[*i].locations.record(&note, now));
        if at >= WARM_UP_S {
            counted += 1;
            in_time += usize::from(done - at <= TARGET.as_secs_f64());
            read_again += usize::from(read);
        }
    }
    (in_time as f64 / f64::from(counted), read_again as f64 / f64::from(counted))
}

#[test]
fn agreed_homes_keep_long_prompts_in_time() {
    for seed in 1..=3 {
        let (with, without) = (simulate(true, seed), simulate(false, seed));
        println!(
            "seed {seed}: in time and read again with homes {with:.3?}, without {without:.3?}"
        );
        assert!(with.0 >= MIN_IN_TIME, "seed {seed}: {:.3} in time", with.0);
        assert!(without.0 < with.0, "seed {seed}: the load does not need homes");
    }
}
