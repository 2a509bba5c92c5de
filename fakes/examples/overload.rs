//! Compares routing with baselines, and overload with and without admission, in virtual time.
//!
//! `cargo run --release --example overload -p lentil-fakes`

use lentil_fakes::simulation::{
    simulate, Policy, Routing, Score, Shape, SimulationFaults, SimulationSetup, Trace, ENGINE_RATES,
};

/// Number of seeds for each figure.
const SEEDS: u64 = 5;

fn setup(seed: u64) -> SimulationSetup {
    SimulationSetup {
        engines: 10,
        change_weight: 2.0,
        policy: Policy::Static,
        routing: Routing::Scored,
        admission: false,
        faults: SimulationFaults::default(),
        failing_engine: None,
        seed,
    }
}

/// Median of a figure over the seeds, for a setup that `change` adjusts.
fn median(load: f64, change: impl Fn(&mut SimulationSetup), figure: impl Fn(&Score) -> f64) -> f64 {
    let mut values: Vec<f64> = (1..=SEEDS)
        .map(|seed| {
            let (prefill, decode) = (ENGINE_RATES.prefill.0, ENGINE_RATES.decode.0);
            let trace = Trace::new(Shape::Noise, 10, prefill, decode, load, seed);
            let mut setup = setup(seed);
            change(&mut setup);
            figure(&simulate(&setup, &trace))
        })
        .collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn main() {
    println!("routing at load 0.7, no admission: goodput, p95 first token, cache hits, spread");
    for routing in Routing::ALL {
        let figure = |f: fn(&Score) -> f64| median(0.7, |s| s.routing = routing, f);
        println!(
            "  {:<14} {:>6.2}% {:>7.3} s {:>6.1}% {:>6.2}",
            routing.to_string(),
            100.0 * figure(|s| s.goodput),
            figure(|s| s.first_p95),
            100.0 * figure(|s| s.cache_hits),
            figure(|s| s.load_spread)
        );
    }
    println!("overload: good requests a second, refused");
    for load in [0.7, 1.0, 2.0, 4.0] {
        for (name, admission) in [("admission", true), ("first in, first out", false)] {
            let figure = |f: fn(&Score) -> f64| median(load, |s| s.admission = admission, f);
            println!(
                "  load {load} {name:<20} {:>7.2}/s {:>6.1}%",
                figure(|s| s.good_rate),
                100.0 * figure(|s| s.refused)
            );
        }
    }
    println!("one engine fails half of what it begins, load 0.5: goodput, retries");
    for (name, failing) in [("healthy", None), ("failing", Some(9))] {
        let change = |s: &mut SimulationSetup| {
            s.failing_engine = failing;
            s.admission = true;
        };
        println!(
            "  {name:<14} {:>6.2}% {:>6.2}%",
            100.0 * median(0.5, change, |s| s.goodput),
            100.0 * median(0.5, change, |s| s.retries)
        );
    }
}
