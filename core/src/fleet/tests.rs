use {
    super::*,
    crate::{
        clock::Time,
        ids::{Bytes, EngineId, PrefixHash, Rank, Tokens},
        routes::{EngineConfig, ScalingConfig, ServiceConfig},
        settings::PrefixRule,
    },
    std::time::Duration,
};

fn stored(number: u64, block: u64) -> CacheEvent {
    CacheEvent { number, block: PrefixHash(block), stored: true }
}

fn blocks(list: &[u64]) -> BlockHashes {
    list.iter().map(|b| PrefixHash(*b)).collect()
}

#[test]
fn hit_blocks_counts_only_leading_blocks() {
    let e: EngineId = "e".parse().unwrap();
    let mut index = CacheIndex::default();
    for (i, block) in [1, 2, 4].into_iter().enumerate() {
        index.apply(&e, &stored(i as u64, block));
    }
    assert_eq!(index.hit_blocks(&e, &blocks(&[1, 2, 3, 4])), 2.0);
    assert_eq!(index.hit_blocks(&"f".parse().unwrap(), &blocks(&[1])), 0.0);
}

#[test]
fn apply_counts_blocks_before_an_event_gap_half() {
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
fn expected_adds_sends_after_the_report() {
    let at = Time::from_millis;
    let mut view = LoadView::default();
    view.record_send(Tokens(100), true, at(1_000));
    view.record_send(Tokens(200), true, at(2_000));
    view.record_report(Load { queued: Tokens(50), running: 1, waiting: 0 }, at(1_500));
    let load = view.expected(0.0, 1, at(2_000));
    assert_eq!((load.queued, load.running), (Tokens(250), 2));
    view.record_report(Load::default(), at(500));
    assert_eq!(view.expected(0.0, 1, at(2_000)), load, "an older report");
    assert_eq!(
        view.expected(100.0, 1, at(2_500)).queued,
        Tokens(150),
        "minus the tokens prefilled since"
    );
}

#[test]
fn idle_since_needs_a_report_since_that_time() {
    let at = Time::from_millis;
    let mut view = LoadView::default();
    view.record_report(Load::default(), at(1_000));
    assert!(view.idle_since(at(1_000)));
    assert!(!view.idle_since(at(1_001)), "an older report");
    view.record_send(Tokens(1), true, at(1_500));
    assert!(!view.idle_since(at(1_000)), "work sent since");
}

#[test]
fn total_drops_notes_of_silent_instances() {
    let at = Time::from_millis;
    let mut in_flight = InFlightByInstance::default();
    let rank = Rank::FIRST;
    let work = |tokens, runs| {
        let mut work = InFlight { runs, ..InFlight::default() };
        work.tokens.add(rank, Tokens(tokens));
        work
    };
    in_flight.record_start(Tokens(10), rank);
    in_flight.update(&"a".parse().unwrap(), work(100, 1), at(0));
    in_flight.update(&"b".parse().unwrap(), work(1_000, 2), at(1_500));
    assert_eq!(in_flight.total(at(1_600)), work(1_110, 4));
    assert_eq!(in_flight.total(at(2_500)), work(1_010, 3));
    in_flight.record_finish(Tokens(10), rank);
    in_flight.record_finish(Tokens(10), rank);
    assert_eq!(in_flight.own, InFlight::default(), "never below zero");
}

#[test]
fn record_keeps_a_prefix_ready_until_it_expires_or_its_engine_is_removed() {
    let at = Time::from_millis;
    let mut locations = PrefixLocations::default();
    let (prefix, engine) = (PrefixHash(1), "e".parse::<EngineId>().unwrap());
    let note = |progress| PrefixNote { prefix, engine: engine.clone(), progress };
    locations.record(&note(PrefixProgress::Ready), at(0));
    locations.record(&note(PrefixProgress::Prefilling), at(100));
    let seen: Vec<_> = locations.copies(prefix, at(200)).collect();
    assert_eq!(seen, [(&engine, PrefixProgress::Ready)]);
    locations.record(&note(PrefixProgress::Prefilling), at(60_000));
    let seen: Vec<_> = locations.copies(prefix, at(60_000)).map(|(_, p)| p).collect();
    assert_eq!(seen, [PrefixProgress::Prefilling], "a prefix used a minute ago has expired");
    locations.remove_engine(&engine);
    assert_eq!(locations.copies(prefix, at(60_000)).count(), 0);
}

#[test]
fn record_removed_ends_the_grace_by_the_drain_bound() {
    let at = |s: f64| Time::from_secs_f64(s);
    let mut missing = MissingTargets::new(Duration::from_secs(2));
    let id: EngineId = "a".parse().unwrap();
    assert!(missing.record_removed(&id, at(0.0), at(1.0)), "no outage");
    missing.record_outage(at(10.0));
    assert!(!missing.record_removed(&id, at(10.0), at(11.0)));
    assert_eq!(missing.next_due(), Some(at(11.7)), "earlier than the end of the grace at 12 s");
    assert!(missing.take_due(at(11.6)).is_empty());
    missing.record_present(&id);
    assert!(missing.take_due(at(20.0)).is_empty(), "registered again");
    missing.record_outage(at(20.0));
    assert!(missing.record_removed(&id, at(18.0), at(20.5)), "the bound has passed");
}

#[test]
fn record_unlisted_keeps_most_targets_for_the_grace() {
    let at = |s: f64| Time::from_secs_f64(s);
    let ids: Vec<EngineId> = ["a", "b", "c"].iter().map(|i| i.parse().unwrap()).collect();
    let mut missing = MissingTargets::new(Duration::from_secs(2));
    assert_eq!(missing.record_unlisted(ids.clone(), 3, at(0.0)), ids, "no outage");
    missing.record_outage(at(10.0));
    assert!(missing.record_unlisted(ids.clone(), 4, at(10.0)).is_empty());
    let two = ids[..2].to_vec();
    assert!(missing.record_unlisted(two, 9, at(10.5)).is_empty(), "missing ones keep their time");
    assert_eq!(missing.take_due(at(12.0)).len(), 3);
}

/// Guards against weighing in deployments that exist already, and without a complete configuration.
#[test]
fn kv_caches_weigh_only_scaled_services_by_default() {
    let engine = EngineConfig {
        memory: Tokens(1_000),
        token_bytes: Bytes(10),
        link: 1e6,
        ..EngineConfig::default()
    };
    let incomplete = EngineConfig { link: 0.0, ..engine.clone() };
    let service = |engine: &EngineConfig, scaled: bool| ServiceConfig {
        engine: Some(engine.clone()),
        scaling: scaled.then(ScalingConfig::default),
        ..ServiceConfig::default()
    };
    let services = [
        ("plain", service(&engine, false)),
        ("scaled", service(&engine, true)),
        ("incomplete", service(&incomplete, true)),
    ];
    let services = services.into_iter().map(|(id, s)| (id.parse().unwrap(), s)).collect();
    let cases = [
        (PrefixRule::Auto, [false, true, false]),
        (PrefixRule::Weighed, [true, true, false]),
        (PrefixRule::Fixed, [false; 3]),
    ];
    for (rule, weighed) in cases {
        let mut caches = KvCaches::default();
        caches.configure(&services, rule);
        let ids = ["plain", "scaled", "incomplete"].map(|id| id.parse().unwrap());
        assert_eq!(ids.map(|id| caches.of(&id).is_some()), weighed, "{rule:?}");
    }
}

/// Guards against reliance on a prefix that newer ones have evicted, and against the loss of one
/// that is used again.
#[test]
fn held_prefixes_find_counts_what_was_placed_since_the_last_use() {
    let (at, progress) = (Time::ZERO, PrefixProgress::Ready);
    let mut held = HeldPrefixes::default();
    for prefix in 0..10 {
        held.record(PrefixHash(prefix), progress, Some(Tokens(100)), at);
    }
    held.record(PrefixHash(10), progress, None, at);
    let newer = |held: &HeldPrefixes, prefix| {
        held.find(PrefixHash(prefix), Tokens(50), at).map(|(_, newer)| newer)
    };
    assert_eq!(newer(&held, 10), Some(Tokens(0)));
    assert_eq!(newer(&held, 8), Some(Tokens(150)));
    held.record(PrefixHash(8), PrefixProgress::Prefilling, None, at);
    assert_eq!(newer(&held, 8), Some(Tokens(0)));
    assert_eq!(newer(&held, 10), Some(Tokens(100)));
    assert_eq!(newer(&held, 11), None);
    let cache = KvCache { memory: Tokens(1_000), token_bytes: Bytes(1), link: 1.0 };
    assert_eq!(cache.held_probability(Tokens(700)), 1.0);
    assert_eq!(cache.held_probability(Tokens(1_200)), 0.0);
}
