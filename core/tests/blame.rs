//! Model of requests that run beside each other on engines, one part of whose prompts crashes them.

use {
    lentil_core::{
        clock::Time,
        ids::{Incarnation, PrefixHash},
        poison::{Crash, Quarantine},
    },
    rand::{rngs::SmallRng, seq::SliceRandom, Rng, SeedableRng},
    std::time::Duration,
};

const ENGINES: usize = 8;
const STEP_MS: u64 = 10;
const DOWN_STEPS: u64 = 300;
/// Time after the fifth crash from which requests with the part are limited.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const FIRST_PART: PrefixHash = PrefixHash(1);
const GUILTY_PART: PrefixHash = PrefixHash(2);

#[derive(Debug, Clone, Copy)]
struct Model {
    /// Shared second parts of sound prompts.
    dossiers: u64,
    /// Requests that arrive in a step, on average.
    rate: f64,
    /// Share of them that have the guilty part.
    guilty: f64,
    /// Probability of an unrelated crash of an engine, for each step.
    crash: f64,
    /// Probability that all engines crash at once, for each step.
    outage: f64,
}

#[derive(Debug, Default)]
struct Result {
    /// When requests with the guilty part were sent, and when they crashed an engine.
    guilty_sends: Vec<Time>,
    guilty_crashes: Vec<Time>,
    sound: usize,
    sound_refused: usize,
}

struct Run {
    parts: [PrefixHash; 2],
    ends: u64,
}

#[derive(Default)]
struct Engine {
    runs: Vec<Run>,
    back: u64,
    boot: u64,
}

fn play(model: Model, seed: u64, steps: u64) -> Result {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut result = Result::default();
    for step in 0..steps {
        let now = Time::from_millis(step * STEP_MS);
        let outage = rng.gen_bool(model.outage);
        for (i, engine) in engines.iter_mut().enumerate() {
            let (done, running) = engine.runs.drain(..).partition(|r| r.ends <= step);
            engine.runs = running;
            let crashes = outage || rng.gen_bool(model.crash);
            let mut crashed = crashes && engine.back <= step;
            for run in done as Vec<Run> {
                if run.parts[1] == GUILTY_PART {
                    crashed = true;
                    result.guilty_crashes.push(now);
                    engine.runs.push(run);
                } else {
                    quarantine.clear(&run.parts.map(Into::into), now);
                }
            }
            if crashed {
                let crash = Crash {
                    engine: format!("e{i}").parse().unwrap(),
                    boot: Incarnation(engine.boot),
                };
                for run in engine.runs.drain(..) {
                    for part in run.parts {
                        quarantine.record_crash(part, crash.clone(), now);
                    }
                }
                engine.boot += 1;
                engine.back = step + DOWN_STEPS;
            }
        }
        if !rng.gen_bool(model.rate) {
            continue;
        }
        let guilty = rng.gen_bool(model.guilty);
        let dossier = PrefixHash(100 + rng.gen_range(0..model.dossiers));
        let parts = [FIRST_PART, if guilty { GUILTY_PART } else { dossier }];
        let quarantined = quarantine.quarantined_among(&parts.map(Into::into), now);
        // As an instance does, with the trials of quarantined parts.
        let refused = !quarantined.is_empty() && !quarantine.take_trial(&quarantined, now);
        result.sound += usize::from(!guilty);
        if refused {
            result.sound_refused += usize::from(!guilty);
            continue;
        }
        let up: Vec<usize> = (0..ENGINES).filter(|i| engines[*i].back <= step).collect();
        let Some(engine) = up.choose(&mut rng) else { continue };
        if guilty {
            result.guilty_sends.push(now);
        }
        let ends = step + rng.gen_range(5..60);
        engines[*engine].runs.push(Run { parts, ends });
    }
    result
}

/// Plays a model with many seeds, and checks the share of sound requests that are refused: at most a
/// twentieth in each run, and a two-hundredth on average.
fn check_refused(model: Model) -> Vec<Result> {
    let results: Vec<Result> = (0..200).map(|seed| play(model, seed, 6_000)).collect();
    let share = |r: &Result| r.sound_refused as f64 / r.sound as f64;
    for (seed, result) in results.iter().enumerate() {
        assert!(share(result) <= 0.05, "seed {seed}: {result:?}");
    }
    let mean = results.iter().map(share).sum::<f64>() / results.len() as f64;
    assert!(mean <= 0.005, "{mean}");
    results
}

#[test]
fn guilty_part_is_named_after_few_crashes_and_sound_ones_are_not() {
    let model = Model { dossiers: 20, rate: 0.5, guilty: 0.05, crash: 0.0005, outage: 0.0 };
    for (seed, result) in check_refused(model).iter().enumerate() {
        let Some(fifth) = result.guilty_crashes.get(4) else { continue };
        let late = result.guilty_sends.iter().filter(|at| **at > *fifth + STABLE_WINDOW).count();
        assert!(late <= 3, "seed {seed}: {late} late requests with the part");
    }
}

#[test]
fn unrelated_crashes_quarantine_few_sound_requests() {
    check_refused(Model { dossiers: 20, rate: 0.5, guilty: 0.0, crash: 0.001, outage: 0.0005 });
}

#[test]
fn crashes_at_the_start_quarantine_few_sound_requests() {
    // All engines crash while no answer has been completed yet.
    check_refused(Model { dossiers: 200, rate: 0.5, guilty: 0.01, crash: 0.0, outage: 0.002 });
}
