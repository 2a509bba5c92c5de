use {
    super::*,
    crate::{
        clock::Time,
        ids::{EngineId, PrefixHash, Rank, Tokens},
    },
};

fn stored(number: u64, block: u64) -> CacheEvent {
    CacheEvent { number, block: PrefixHash(block), stored: true }
}

fn blocks(list: &[u64]) -> BlockHashes {
    list.iter().map(|b| PrefixHash(*b)).collect()
}

#[test]
fn hit_counts_leading_blocks_only() {
    let e: EngineId = "e".parse().unwrap();
    let mut index = CacheIndex::default();
    for (i, block) in [1, 2, 4].into_iter().enumerate() {
        index.apply(&e, &stored(i as u64, block));
    }
    assert_eq!(index.hit_blocks(&e, &blocks(&[1, 2, 3, 4])), 2.0);
    assert_eq!(index.hit_blocks(&"f".parse().unwrap(), &blocks(&[1])), 0.0);
}

#[test]
fn event_gap_puts_earlier_blocks_in_doubt() {
    let e: EngineId = "e".parse().unwrap();
    let mut index = CacheIndex::default();
    index.apply(&e, &stored(0, 1));
    index.apply(&e, &stored(5, 2));
    assert_eq!(index.hit_blocks(&e, &blocks(&[1, 2])), 1.5);
    index.apply(&e, &stored(3, 9));
    assert_eq!(index.hit_blocks(&e, &blocks(&[9])), 0.0, "a late event");
    index.apply(&e, &CacheEvent { stored: false, ..stored(6, 1) });
    assert_eq!(index.hit_blocks(&e, &blocks(&[1, 2])), 0.0);
}

#[test]
fn store_keeps_a_bounded_number_of_blocks() {
    let e: EngineId = "e".parse().unwrap();
    let mut index = CacheIndex::default();
    for i in 0..3 * MAX_GENERATION_BLOCKS as u64 {
        index.apply(&e, &stored(i, i));
    }
    assert!(index.len() <= 2 * MAX_GENERATION_BLOCKS);
    assert_eq!(index.hit_blocks(&e, &blocks(&[3 * MAX_GENERATION_BLOCKS as u64 - 1])), 1.0);
}

#[test]
fn expected_adds_sends_that_the_report_misses() {
    let at = Time::from_millis;
    let mut view = LoadView::default();
    view.sent(Tokens(100), true, at(1_000));
    view.sent(Tokens(200), true, at(2_000));
    view.reported(Load { queued: Tokens(50), running: 1, waiting: 0 }, at(1_500));
    let load = view.expected(0.0, 1, at(2_000));
    assert_eq!((load.queued, load.running), (Tokens(250), 2));
    view.reported(Load::default(), at(500));
    assert_eq!(view.expected(0.0, 1, at(2_000)), load, "an older report");
    assert_eq!(view.expected(100.0, 1, at(2_500)).queued, Tokens(150), "what was prefilled since");
}

#[test]
fn idle_since_needs_a_report_of_that_time() {
    let at = Time::from_millis;
    let mut view = LoadView::default();
    view.reported(Load::default(), at(1_000));
    assert!(view.idle_since(at(1_000)));
    assert!(!view.idle_since(at(1_001)), "an older report");
    view.sent(Tokens(1), true, at(1_500));
    assert!(!view.idle_since(at(1_000)), "work sent since");
}

#[test]
fn total_forgets_instances_that_fell_silent() {
    let at = Time::from_millis;
    let mut shared = InFlightByInstance::default();
    let rank = Rank::FIRST;
    let held = |tokens, runs| {
        let mut held = InFlight { runs, ..InFlight::default() };
        held.tokens.add(rank, Tokens(tokens));
        held
    };
    shared.started(Tokens(10), rank);
    shared.update(&"a".parse().unwrap(), held(100, 1), at(0));
    shared.update(&"b".parse().unwrap(), held(1_000, 2), at(1_500));
    assert_eq!(shared.total(at(1_600)), held(1_110, 4));
    assert_eq!(shared.total(at(2_500)), held(1_010, 3));
    shared.finished(Tokens(10), rank);
    shared.finished(Tokens(10), rank);
    assert_eq!(shared.own, InFlight::default(), "never below nothing");
}

#[test]
fn note_keeps_a_part_ready_and_forgets_with_its_engine() {
    let at = Time::from_millis;
    let mut placed = PrefixLocations::default();
    let (part, engine) = (PrefixHash(1), "e".parse::<EngineId>().unwrap());
    let note = |progress| PrefixNote { prefix: part, engine: engine.clone(), progress };
    placed.record(&note(PrefixProgress::Ready), at(0));
    placed.record(&note(PrefixProgress::Prefilling), at(100));
    let seen: Vec<_> = placed.copies(part, at(200)).collect();
    assert_eq!(seen, [(&engine, PrefixProgress::Ready)]);
    placed.record(&note(PrefixProgress::Prefilling), at(60_000));
    let seen: Vec<_> = placed.copies(part, at(60_000)).map(|(_, p)| p).collect();
    assert_eq!(seen, [PrefixProgress::Prefilling], "what was ready a minute ago has yielded");
    placed.forget(&engine);
    assert_eq!(placed.copies(part, at(60_000)).count(), 0);
}
