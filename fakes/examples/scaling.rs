//! Compares a fixed fleet, thresholds on utilization and the daemon's decision on the number of
//! targets, in virtual time.
//!
//! `cargo run --release --example scaling -p lentil-fakes`

use lentil_fakes::simulation::{simulate_fleet, FleetPolicy, FleetScore, FleetSetup};

/// Number of seeds for each figure.
const SEEDS: u64 = 5;

fn census(policy: FleetPolicy, seed: u64) -> FleetSetup {
    FleetSetup {
        policy,
        engines: 57,
        rates: (37.0, 443.0),
        prefill: 93_000.0,
        slots: 16,
        prefixes: (509, 33),
        objectives: (1.2, 0.25),
        burst: None,
        reclaim: None,
        length: 90.0,
        seed,
    }
}

fn shifted(policy: FleetPolicy, seed: u64) -> FleetSetup {
    FleetSetup {
        engines: 60,
        rates: (36.0, 652.0),
        prefill: 36_700.0,
        slots: 48,
        prefixes: (400, 26),
        objectives: (0.8, 0.8),
        ..census(policy, seed)
    }
}

/// Median of a figure over the seeds.
fn median(scores: &[FleetScore], figure: impl Fn(&FleetScore) -> f64) -> f64 {
    let mut values: Vec<f64> = scores.iter().map(figure).collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

type Deployment = fn(FleetPolicy, u64) -> FleetSetup;

fn main() {
    println!("deployment, case, policy: goodput, target-seconds, price, prefix hits, orders, targets at the end");
    for (name, setup) in [("census", census as Deployment), ("shifted", shifted)] {
        for (case, burst, reclaim) in
            [("wave", None, None), ("burst", Some(60.0), None), ("reclaim", None, Some(60.0))]
        {
            for policy in [FleetPolicy::Fixed, FleetPolicy::Threshold, FleetPolicy::Scaler] {
                let run =
                    |seed| simulate_fleet(&FleetSetup { burst, reclaim, ..setup(policy, seed) });
                let scores: Vec<FleetScore> = (1..=SEEDS).map(run).collect();
                println!(
                    "{name:<8} {case:<8} {policy:<10} {:>7.3}% {:>6.0} {:>6.0} {:>5.1}% {:>4.0} {:>4.0}",
                    100.0 * median(&scores, |s| s.goodput),
                    median(&scores, |s| s.target_seconds),
                    median(&scores, |s| s.price),
                    100.0 * median(&scores, |s| s.hits),
                    median(&scores, |s| s.orders as f64),
                    median(&scores, |s| s.targets as f64),
                    policy = format!("{policy:?}"),
                );
            }
        }
    }
}
