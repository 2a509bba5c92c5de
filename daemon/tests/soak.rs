//! Randomized fault soak: real processes before stand-ins, faults from outside, promises checked
//! by what callers and targets see.
//!
//! `LENTIL_SOAK=FIRST..LAST cargo test --release -p lentilgrade --test soak` runs other seeds.

#[path = "../../platform/tests/common/mod.rs"]
mod platform;

mod faulty;

use {
    faulty::{callers::Callers, check, faults::Plan, process::Fleet},
    std::time::Duration,
    tokio::time::sleep,
};

/// Seeds that failed once, with what was found.
const REGRESSIONS: [u64; 0] = [];
/// Seeds of a run without others named.
const SHORT: std::ops::Range<u64> = 1..3;
/// Instances of a run.
const INSTANCES: usize = 3;
/// Targets of a run.
const TARGETS: usize = 4;
/// Length of the time with faults.
const FAULTY: Duration = Duration::from_secs(8);
/// Time after the last fault within which everything is served again.
const RECOVERY: Duration = Duration::from_secs(6);

fn seeds() -> Vec<u64> {
    let Ok(range) = std::env::var("LENTIL_SOAK") else {
        return REGRESSIONS.into_iter().chain(SHORT).collect();
    };
    let (first, last) = range.split_once("..").expect("LENTIL_SOAK is FIRST..LAST");
    (first.parse().unwrap()..last.parse().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn soak_keeps_the_promises() {
    let mut broken = Vec::new();
    for seed in seeds() {
        let found = run(seed).await;
        println!("soak: seed={seed} broken={}", found.len());
        broken.extend(found.into_iter().map(|text| format!("seed {seed}: {text}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

async fn run(seed: u64) -> Vec<String> {
    let mut fleet = Fleet::start(seed, INSTANCES, TARGETS).await;
    let callers = Callers::start(seed, fleet.addresses());
    sleep(Duration::from_millis(500)).await;
    let told = Plan::new(seed, FAULTY).play(&mut fleet).await;
    fleet.heal().await;
    sleep(RECOVERY).await;
    let calm = callers.mark();
    sleep(Duration::from_secs(2)).await;
    let history = callers.stop().await;
    let runs = fleet.runs();
    let found = check::check(&history, &runs, calm);
    let served = history.iter().filter(|a| check::is_served(a)).count();
    println!(
        "soak: seed={seed} requests={} served={served} runs={} faults={}",
        history.len(),
        runs.len(),
        told.len()
    );
    if !found.is_empty() {
        told.iter().for_each(|line| println!("soak: seed={seed} {line}"));
        println!("soak: seed={seed} logs in {}", fleet.logs().display());
    }
    fleet.end();
    found
}
