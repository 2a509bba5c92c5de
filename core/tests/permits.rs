//! Requests that instances send to one target with a rate limit, in virtual time: with permits from
//! one holder, through partitions and lost messages, and with a fixed part of the rate for each
//! instance.

use {
    lentil_core::{
        clock::Time,
        ids::RequestRate,
        limit::{LocalSchedule, Permit, PermitSchedule},
        mesh::MAX_REGION_MEMBERS,
    },
    proptest::prelude::{any, prop_assert, prop_oneof, proptest, Just, ProptestConfig},
    rand::{rngs::StdRng, Rng, SeedableRng},
    std::time::Duration,
};

/// Span in which requests are counted, in milliseconds.
const SPAN_MS: u64 = 4_000;
/// Shortest time between two changes of the membership; a failure detector takes longer.
const MIN_STABLE_MS: u64 = 4_000;

/// How the instances share the rate.
#[derive(Debug, Clone, Copy)]
enum Sharing {
    /// The first instance of each side of a partition gives permits.
    Holder,
    /// Each instance has a token bucket with an equal part of the rate.
    EqualParts,
}

struct Fleet {
    rate: RequestRate,
    /// Side of the partition on which each instance is.
    sides: Vec<usize>,
    schedules: Vec<PermitSchedule>,
    local: Vec<LocalSchedule>,
    /// Tokens of each instance and when they were last added up, for equal parts.
    buckets: Vec<(f64, Time)>,
    /// Share of the messages that are lost.
    loss: f64,
    rng: StdRng,
}

impl Fleet {
    fn new(count: usize, rate: f64, loss: f64, seed: u64) -> Self {
        Self {
            rate: RequestRate::new(rate).unwrap(),
            sides: vec![0; count],
            schedules: vec![PermitSchedule::default(); count],
            local: vec![LocalSchedule::default(); count],
            buckets: vec![(0.0, Time::ZERO); count],
            loss,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns when instance `i` sends a request that it has at `now`, if it may.
    fn send(&mut self, i: usize, sharing: Sharing, now: Time) -> Option<Time> {
        match sharing {
            Sharing::EqualParts => {
                let part = self.rate.per_second() / self.sides.len() as f64;
                let (tokens, since) = &mut self.buckets[i];
                *tokens = (*tokens + part * (now - *since).as_secs_f64()).min(1.0);
                *since = now;
                let allowed = *tokens >= 1.0;
                *tokens -= f64::from(u8::from(allowed));
                allowed.then_some(now)
            }
            Sharing::Holder => {
                let side = self.sides[i];
                let visible = self.sides.iter().filter(|s| **s == side).count();
                let share = visible as f64 / self.sides.len() as f64;
                let holder = self.sides.iter().position(|s| *s == side)?;
                let lost = holder != i && self.rng.gen_bool(self.loss);
                if lost || visible <= self.sides.len().min(MAX_REGION_MEMBERS) / 2 {
                    let instances = Some(self.sides.len() as u32);
                    let jitter = self.rng.gen();
                    return self.local[i]
                        .take(self.rate, instances, jitter, now)
                        .ok()
                        .map(|()| now);
                }
                let wait = Duration::from_millis(20);
                let jitter = self.rng.gen();
                match self.schedules[holder].take((self.rate, share), wait, jitter, now) {
                    Permit::Granted { wait, .. } => Some(now + wait),
                    Permit::Denied { .. } => None,
                }
            }
        }
    }
}

/// Returns the most requests in a span, and the requests as a share of what the limit allows.
fn worst_span(mut sent: Vec<Time>, rate: f64, end_ms: u64) -> (usize, f64) {
    sent.sort_unstable();
    let span = Duration::from_millis(SPAN_MS);
    let within = |i: usize| sent[i..].iter().take_while(|t| **t - sent[i] < span).count();
    let worst = (0..sent.len()).map(within).max().unwrap_or(0);
    (worst, sent.len() as f64 / (rate * end_ms as f64 / 1e3))
}

/// Lets `demand` requests per second arrive at random instances; `skew` of them at the first tenth.
fn simulate(
    fleet: &mut Fleet,
    sharing: Sharing,
    demand: f64,
    skew: f64,
    end_ms: u64,
    mut change: impl FnMut(&mut Fleet, u64),
) -> (usize, f64) {
    let mut sent = Vec::new();
    let count = fleet.sides.len();
    for ms in 0..end_ms {
        change(fleet, ms);
        let mut arrivals = (demand / 1e3).floor() as usize;
        arrivals += usize::from(fleet.rng.gen_bool((demand / 1e3).fract()));
        for _ in 0..arrivals {
            let narrow = fleet.rng.gen_bool(skew);
            let i = fleet.rng.gen_range(0..if narrow { count.div_ceil(10) } else { count });
            sent.extend(fleet.send(i, sharing, Time::from_millis(ms)));
        }
    }
    worst_span(sent, fleet.rate.per_second(), end_ms)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn permits_hold_the_limit_through_partitions_and_lost_messages(
        seed in any::<u64>(),
        count in prop_oneof![Just(6_usize), Just(60), Just(400)],
        rate in 0.0..40.0_f64,
        load in 0.5..8.0_f64,
        loss in 0.0..1.0_f64,
    ) {
        let mut fleet = Fleet::new(count, rate, loss, seed);
        let mut stable_since = 0;
        let change = |fleet: &mut Fleet, ms: u64| {
            if ms - stable_since >= MIN_STABLE_MS && fleet.rng.gen_bool(0.0005) {
                stable_since = ms;
                let sides = [1, 2, 3, 8, fleet.sides.len()][fleet.rng.gen_range(0..5)];
                for i in 0..fleet.sides.len() {
                    fleet.sides[i] = fleet.rng.gen_range(0..sides);
                }
            }
        };
        let demand = (rate * load).max(5.0);
        let (worst, _) = simulate(&mut fleet, Sharing::Holder, demand, 0.5, 40_000, change);
        let allowed = 1.5 * rate * SPAN_MS as f64 / 1e3 + 5.0;
        prop_assert!(worst as f64 <= allowed, "{worst} requests in a span, {allowed} allowed");
    }
}

#[test]
fn permits_hold_and_use_the_limit_at_each_fleet_size() {
    const RATE: f64 = 10.0;
    for count in [6, 60, 400] {
        for sharing in [Sharing::Holder, Sharing::EqualParts] {
            let mut fleet = Fleet::new(count, RATE, 0.03, 7);
            // A pause at first: unused parts add up.
            let quiet = |_: &mut Fleet, _| {};
            let (worst, used) = simulate(&mut fleet, sharing, RATE * 2.0, 0.5, 120_000, quiet);
            println!("{count} instances, {sharing:?}: {worst} in 4 s, {used:.2} of the limit used");
            if matches!(sharing, Sharing::Holder) {
                assert!(worst <= 65, "{count} instances: {worst} requests in a span");
                assert!(used > 0.8, "{count} instances: {used:.2} of the limit used");
            }
        }
    }
}
