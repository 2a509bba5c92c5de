use {
    super::*,
    crate::{
        clock::Time,
        ids::{TokenRate, Tokens},
        manifest::{ChangeWeight, EngineRates, Role},
    },
};

const RATES: EngineRates = EngineRates {
    prefill: TokenRate(10_000.0),
    decode: TokenRate(640.0),
    slots: 32,
    cache: Tokens(1_000_000),
};

/// Demand that keeps `prefill` engines busy with long prompts and `decode` engines with decoding.
fn demand(prefill: f64, decode: f64) -> Demand {
    let prefill = prefill * 10_000.0;
    // Prompts of 1,000 tokens take 0.1 s.
    let long = prefill / 1_000.0;
    let ttft_budget = long * 0.48;
    Demand { prefill, decode: decode * 640.0, long, ttft_budget, ..Demand::default() }
}

const SPLIT: Split = Split { prefill: 3, decode: 7 };

/// Runs a planner once a second over `demands`; returns the last split and the number of changes.
fn run_planner(weight: f64, demands: impl Iterator<Item = Demand>) -> (Split, u32) {
    let mut planner = Planner::new(ChangeWeight(weight), ChangeCost::default(), Time::ZERO);
    let (mut split, mut changes) = (SPLIT, 0);
    for (second, demand) in demands.enumerate() {
        let now = Time::from_millis(second as u64 * 1_000);
        let input = PlannerInput { demand, rates: &RATES, split, unavailable: 0 };
        let Some(role) = planner.decide(&input, now) else {
            continue;
        };
        changes += 1;
        split = split.with_change(role).unwrap();
    }
    (split, changes)
}

#[test]
fn best_split_follows_the_mix_and_keeps_one_decoding_engine() {
    assert_eq!(best_split(demand(1.0, 2.0), &RATES, SPLIT), SPLIT, "no loss");
    assert!(best_split(demand(6.0, 2.0), &RATES, SPLIT).prefill > 3);
    assert!(best_split(demand(0.5, 8.0), &RATES, SPLIT).prefill < 3);
    assert_eq!(best_split(demand(100.0, 0.0), &RATES, SPLIT).decode, 1);
}

#[test]
fn planner_follows_a_lasting_shift() {
    let (split, changes) = run_planner(2.0, (0..120).map(|_| demand(6.0, 2.0)));
    assert!(split.prefill >= 5, "{split:?}");
    assert_eq!(changes as usize, split.prefill - 3, "no change in the opposite direction");
}

#[test]
fn planner_ignores_fluctuating_demand() {
    let noise = (0..600).map(|s| demand(1.5 + (s % 3) as f64 * 0.25, 4.0 - (s % 2) as f64 * 0.4));
    assert_eq!(run_planner(2.0, noise).1, 0);
}

#[test]
fn planner_changes_later_with_a_greater_weight() {
    let shift = || (0..12).map(|_| demand(6.0, 2.0));
    assert!(run_planner(2.0, shift()).1 > run_planner(30.0, shift()).1);
}

#[test]
fn planner_keeps_most_engines_in_service() {
    let mut planner = Planner::new(ChangeWeight(0.0), ChangeCost::default(), Time::ZERO);
    for second in 0..60 {
        let now = Time::from_millis(second * 1_000);
        let input =
            PlannerInput { demand: demand(9.0, 1.0), rates: &RATES, split: SPLIT, unavailable: 2 };
        assert_eq!(planner.decide(&input, now), None);
    }
}

#[test]
fn meter_reaches_the_arrival_rate() {
    let mut meter = DemandMeter::new(5.0, Time::ZERO);
    let first_token = std::time::Duration::from_millis(480);
    let request = Request { prompt: Tokens(2_000), output: Tokens(10), first_token };
    for i in 0..600 {
        meter.record_arrival(request.demand(10_000.0), Time::from_millis(i * 100));
    }
    let demand = meter.demand(Time::from_millis(60_000));
    assert!((demand.prefill - 20_000.0).abs() < 500.0, "{demand:?}");
    assert!((demand.mean_ttft_budget() - 0.48).abs() < 1e-9);
    assert!(meter.demand(Time::from_millis(120_000)).prefill < 1.0);
}

/// Runs a balancer five times a second; `work` gives the engines of each role that are kept busy in
/// a second. Returns the last split and the number of changes.
fn run_balancer(seconds: u64, mut split: Split, work: impl Fn(u64) -> (f64, f64)) -> (Split, u32) {
    let (mut balancer, mut changes) = (RoleBalancer::new(Time::ZERO), 0);
    for step in 0..seconds * 5 {
        let now = Time::from_millis(step * 200);
        let (prefill, decode) = work(step / 5);
        let utilization = Utilization {
            prefill: (prefill / split.prefill as f64).min(1.0),
            decode: (decode / split.decode as f64).min(1.0),
        };
        let Some(role) = balancer.decide(utilization, split, 0, now) else { continue };
        split = split.with_change(role).unwrap();
        changes += 1;
    }
    (split, changes)
}

#[test]
fn balancer_extends_the_busier_role_until_utilization_is_even() {
    let third = Split { prefill: 3, decode: 6 };
    let (split, changes) = run_balancer(30, third, |_| (2.4, 1.2));
    assert_eq!((split, changes), (Split { prefill: 6, decode: 3 }, 3));
    let (split, changes) = run_balancer(60, third, |_| (0.5, 4.0));
    assert_eq!((split, changes), (Split { prefill: 1, decode: 8 }, 2));
}

#[test]
fn balancer_ignores_a_swinging_mix_and_low_utilization() {
    let half = Split { prefill: 5, decode: 5 };
    let swing = |s: u64| if s % 6 < 3 { (4.0, 1.0) } else { (1.0, 4.0) };
    assert_eq!(run_balancer(120, half, swing).1, 0);
    assert_eq!(run_balancer(60, Split { prefill: 2, decode: 8 }, |_| (0.6, 0.1)).1, 0);
}

#[test]
fn balancer_keeps_an_engine_of_each_role_and_enough_decode_slots() {
    let few = Split { prefill: 1, decode: 1 };
    assert_eq!(run_balancer(60, few, |_| (5.0, 0.0)).0, few);
    // A fourth prefilling engine would leave too few decode slots.
    assert_eq!(run_balancer(60, Split { prefill: 3, decode: 3 }, |_| (3.0, 1.4)).1, 0);
}

#[test]
fn balancer_extends_decoding_at_once_if_no_engine_decodes() {
    for prefill in [1, 3] {
        let mut balancer = RoleBalancer::new(Time::ZERO);
        let split = Split { prefill, decode: 0 };
        let role = balancer.decide(Utilization::default(), split, prefill, Time::from_millis(200));
        assert_eq!(role, Some(Role::Decode), "{split:?}");
    }
    let none = Split { prefill: 0, decode: 0 };
    assert_eq!(
        RoleBalancer::new(Time::ZERO).decide(Utilization::default(), none, 0, Time::ZERO),
        None
    );
}

#[test]
fn balancer_keeps_a_second_decoding_engine() {
    let mut balancer = RoleBalancer::new(Time::ZERO);
    let left = Split { prefill: 3, decode: 1 };
    let idle = Utilization::default();
    assert_eq!(balancer.decide(idle, left, 0, Time::from_millis(200)), Some(Role::Decode));
    // Prefilling is busy and decoding idle, but no decoding engine can be spared.
    let two = Split { prefill: 2, decode: 2 };
    assert_eq!(run_balancer(60, two, |_| (5.0, 0.0)).0, two);
}

#[test]
fn balancer_reverses_only_after_a_delay() {
    let mut balancer = RoleBalancer::new(Time::ZERO);
    let mut changes = Vec::new();
    let mut split = Split { prefill: 3, decode: 6 };
    for step in 0..400_u64 {
        let now = Time::from_millis(step * 100);
        let (prefill, decode) = if step < 100 { (1.0, 0.1) } else { (0.05, 0.9) };
        let utilization = Utilization { prefill, decode };
        if let Some(role) = balancer.decide(utilization, split, 0, now) {
            changes.push((role, step / 10));
            split = split.with_change(role).unwrap();
        }
    }
    let last = changes.iter().rfind(|(r, _)| *r == Role::Prefill).unwrap().1;
    let back = changes.iter().find(|(r, _)| *r == Role::Decode).unwrap().1;
    assert!(back >= last + 20, "{changes:?}");
}

#[test]
fn balancer_waits_while_a_fifth_of_the_engines_is_unavailable() {
    let mut balancer = RoleBalancer::new(Time::ZERO);
    let split = Split { prefill: 3, decode: 6 };
    let utilization = Utilization { prefill: 1.0, decode: 0.1 };
    let decided = (0..100_u64)
        .any(|i| balancer.decide(utilization, split, 1, Time::from_millis(i * 200)).is_some());
    assert!(!decided);
}
