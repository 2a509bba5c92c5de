//! Load above what the engines carry, played in virtual time with the decisions that the daemon
//! calls: what callers get with and without early refusal.

mod load;

use {
    lentil_core::{
        admit::join_queue,
        clock::Time,
        fleet::CacheIndex,
        ids::{Rank, Tokens},
        route::choose,
    },
    load::{engines, place, work, ENGINES, RATE},
    std::{collections::BinaryHeap, time::Duration},
};

/// Prompt tokens of a request.
const PROMPT: u64 = 4_000;
/// Requests that the prefilling engines carry in a second.
const CAPACITY: f64 = ENGINES as f64 * RATE / PROMPT as f64;
/// Length of the load.
const LENGTH: f64 = 10.0;

#[derive(Debug, Default)]
struct Outcome {
    in_time: usize,
    late: usize,
    refused: usize,
    /// Longest wait of a request that was admitted.
    longest: f64,
}

/// Plays `load` times the capacity; each engine reads one prompt after another.
fn play(load: f64, admission: bool) -> Outcome {
    let mut engines = engines();
    let cache = CacheIndex::default();
    let mut free = [0.0_f64; ENGINES];
    let mut ends: BinaryHeap<(std::cmp::Reverse<u64>, usize)> = BinaryHeap::new();
    let mut outcome = Outcome::default();
    let count = (CAPACITY * load * LENGTH) as u64;
    for number in 0..count {
        let at = number as f64 / (CAPACITY * load);
        let now = Time::from_secs_f64(at);
        while ends.peek().is_some_and(|(end, _)| end.0 <= now.as_micros()) {
            let (_, i) = ends.pop().unwrap();
            engines[i].load.in_flight.as_mut().unwrap().finished(Tokens(PROMPT), Rank::FIRST);
        }
        let (place, work) = (place(number), work(number, PROMPT, Rank::FIRST));
        let pick = choose(&engines, &cache, &work, &place, now).unwrap();
        let left = Duration::from_millis(6_000);
        if admission && join_queue(&work.class, &pick, left).is_err() {
            outcome.refused += 1;
            continue;
        }
        // Prompts read beside decoding are not part of this load.
        let Some(i) = pick.prefill else { continue };
        engines[i].load.in_flight.as_mut().unwrap().started(Tokens(PROMPT), Rank::FIRST);
        let end = free[i].max(at) + PROMPT as f64 / RATE;
        free[i] = end;
        ends.push((std::cmp::Reverse(Time::from_secs_f64(end).as_micros()), i));
        let waited = end - at;
        outcome.longest = outcome.longest.max(waited);
        match waited <= 0.8 {
            true => outcome.in_time += 1,
            false => outcome.late += 1,
        }
    }
    outcome
}

#[test]
fn join_queue_keeps_goodput_under_overload() {
    for load in [2.0, 4.0] {
        let ours = play(load, true);
        let fifo = play(load, false);
        let carried = CAPACITY * LENGTH;
        assert!(ours.in_time as f64 >= 0.9 * carried, "load {load}: {ours:?} of {carried}");
        assert!(ours.longest <= 1.0, "load {load}: {ours:?}");
        assert!(fifo.in_time * 2 < ours.in_time, "load {load}: {fifo:?} without, {ours:?} with");
    }
}

#[test]
fn join_queue_refuses_nothing_below_capacity() {
    let ours = play(0.8, true);
    assert_eq!((ours.refused, ours.late), (0, 0), "{ours:?}");
}
