//! Routing against baselines, and overload with and without admission, in virtual time.
//!
//! `cargo run --release --example overload -p lentil-fakes`

use lentil_fakes::model::{run, Faults, Policy, Routing, Score, Setup, Shape, Trace, RATES};

const SEEDS: u64 = 5;

fn setup(seed: u64) -> Setup {
    Setup {
        engines: 10,
        weight: 2.0,
        policy: Policy::Static,
        routing: Routing::Ours,
        admission: false,
        faults: Faults::default(),
        failing: None,
        seed,
    }
}

/// Median of a figure over the seeds.
fn median(load: f64, change: impl Fn(&mut Setup), figure: impl Fn(&Score) -> f64) -> f64 {
    let mut values: Vec<f64> = (1..=SEEDS)
        .map(|seed| {
            let (prefill, decode) = (RATES.prefill.0, RATES.decode.0);
            let trace = Trace::new(Shape::Noise, 10, prefill, decode, load, seed);
            let mut setup = setup(seed);
            change(&mut setup);
            figure(&run(&setup, &trace))
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
            figure(|s| s.first95),
            100.0 * figure(|s| s.hits),
            figure(|s| s.spread)
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
        let change = |s: &mut Setup| {
            s.failing = failing;
            s.admission = true;
        };
        println!(
            "  {name:<14} {:>6.2}% {:>6.2}%",
            100.0 * median(0.5, change, |s| s.goodput),
            100.0 * median(0.5, change, |s| s.retries)
        );
    }
}
