//! Overload simulation in virtual time, with the decision functions that the daemon calls: compares
//! the goodput with and without refusal of requests that would queue for too long.

mod load;

use {
    lentil_core::{
        admit::join_queue,
        clock::Time,
        fleet::CacheIndex,
        ids::{Rank, Tokens},
        route::choose,
    },
    load::{engines, origin, request, ENGINES_PER_ROLE, PREFILL_TOKENS_PER_S},
    std::{collections::BinaryHeap, time::Duration},
};

/// Prompt length of each request.
const PROMPT_TOKENS: u64 = 4_000;
/// Capacity of the prefilling engines.
const CAPACITY_REQUESTS_PER_S: f64 =
    ENGINES_PER_ROLE as f64 * PREFILL_TOKENS_PER_S / PROMPT_TOKENS as f64;
/// Time for which requests arrive.
const LENGTH_S: f64 = 10.0;

#[derive(Debug, Default)]
struct Outcome {
    in_time: usize,
    late: usize,
    refused: usize,
    /// Longest time from arrival to the end of the prefill of an admitted request, in seconds.
    longest: f64,
}

/// Simulates `load` times the capacity; each engine prefills one prompt after another.
fn simulate(load: f64, admission: bool) -> Outcome {
    let mut engines = engines();
    let cache = CacheIndex::default();
    let mut free_at = [0.0_f64; ENGINES_PER_ROLE];
    let mut ends: BinaryHeap<(std::cmp::Reverse<u64>, usize)> = BinaryHeap::new();
    let mut outcome = Outcome::default();
    let count = (CAPACITY_REQUESTS_PER_S * load * LENGTH_S) as u64;
    for number in 0..count {
        let at = number as f64 / (CAPACITY_REQUESTS_PER_S * load);
        let now = Time::from_secs_f64(at);
        while ends.peek().is_some_and(|(end, _)| end.0 <= now.as_micros()) {
            let (_, i) = ends.pop().unwrap();
            engines[i]
                .load
                .in_flight
                .as_mut()
                .unwrap()
                .record_finish(Tokens(PROMPT_TOKENS), Rank::FIRST);
        }
        let (origin, request) = (origin(number), request(number, PROMPT_TOKENS, Rank::FIRST));
        let pick = choose(&engines, &cache, &request, &origin, now).unwrap();
        let left = Duration::from_millis(6_000);
        if admission && join_queue(&request.class, &pick, left).is_err() {
            outcome.refused += 1;
            continue;
        }
        // Prompts prefilled on a decoding engine are not counted.
        let Some(i) = pick.prefill else { continue };
        engines[i]
            .load
            .in_flight
            .as_mut()
            .unwrap()
            .record_start(Tokens(PROMPT_TOKENS), Rank::FIRST);
        let end = free_at[i].max(at) + PROMPT_TOKENS as f64 / PREFILL_TOKENS_PER_S;
        free_at[i] = end;
        ends.push((std::cmp::Reverse(Time::from_secs_f64(end).as_micros()), i));
        let latency = end - at;
        outcome.longest = outcome.longest.max(latency);
        match latency <= 0.8 {
            true => outcome.in_time += 1,
            false => outcome.late += 1,
        }
    }
    outcome
}

#[test]
fn join_queue_keeps_goodput_under_overload() {
    for load in [2.0, 4.0] {
        let with = simulate(load, true);
        let without = simulate(load, false);
        let capacity = CAPACITY_REQUESTS_PER_S * LENGTH_S;
        assert!(with.in_time as f64 >= 0.9 * capacity, "load {load}: {with:?} of {capacity}");
        assert!(with.longest <= 1.0, "load {load}: {with:?}");
        assert!(
            without.in_time * 2 < with.in_time,
            "load {load}: {without:?} without admission, {with:?} with it"
        );
    }
}

#[test]
fn join_queue_refuses_nothing_below_capacity() {
    let outcome = simulate(0.8, true);
    assert_eq!((outcome.refused, outcome.late), (0, 0), "{outcome:?}");
}
