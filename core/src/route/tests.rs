use {
    super::*,
    crate::{
        clock::Time,
        error::ErrorKind,
        fleet::{
            prefix_blocks, CacheIndex, EngineView, Load, PrefixNote, PrefixProgress, Registration,
            BLOCK_BYTES,
        },
        ids::{Incarnation, Millis, PrefixHash, Rank, TokenRate, Tokens},
        manifest::{ClassSpec, EngineRates, EngineSpec, Role},
    },
};

fn engine(id: &str, role: Role) -> EngineView {
    let spec = EngineSpec {
        address: "127.0.0.1:1".parse().unwrap(),
        region: "nl".parse().unwrap(),
        zone: "a".parse().unwrap(),
        cell: "c".parse().unwrap(),
        model: "m".parse().unwrap(),
        fenced: true,
        rates: EngineRates {
            prefill: TokenRate(10_000.0),
            decode: TokenRate(640.0),
            slots: 32,
            cache: Tokens(1_000_000),
        },
    };
    EngineView { role, ..EngineView::new(id.parse().unwrap(), &spec) }
}

fn request(prompt: usize) -> RoutingRequest {
    let text = "x".repeat(prompt * 4);
    RoutingRequest {
        model: "m".parse().unwrap(),
        adapter: None,
        prompt: Tokens(prompt as u64),
        output: Tokens(100),
        blocks: prefix_blocks(&text),
        lengths: Default::default(),
        resumable: false,
        software: None,
        excluded: Default::default(),
        class: ClassSpec {
            first: Millis(480),
            between: Millis(78),
            deadline: Millis(20_000),
            priority: 1,
        },
        rank: Rank::FIRST,
    }
}

fn origin() -> RoutingOrigin {
    RoutingOrigin {
        partial: false,
        region: "nl".parse().unwrap(),
        zone: "a".parse().unwrap(),
        instances: 1,
        salt: 7,
    }
}

const NOW: Time = Time::ZERO;

#[test]
fn choose_disaggregates_long_prompts_and_colocates_short_ones() {
    let engines = [engine("p", Role::Prefill), engine("d", Role::Decode)];
    let cache = CacheIndex::default();
    let long = choose(&engines, &cache, &request(3_000), &origin(), NOW).unwrap();
    assert_eq!((long.prefill, long.decode), (Some(0), 1));
    let short = choose(&engines, &cache, &request(20), &origin(), NOW).unwrap();
    assert_eq!((short.prefill, short.decode), (None, 1));
}

#[test]
fn choose_prefers_a_cached_prefix_until_its_engine_is_busy() {
    let mut engines = [engine("d0", Role::Decode), engine("d1", Role::Decode)];
    let mut cache = CacheIndex::default();
    let request = request(10 * BLOCK_BYTES);
    cache.record_send(&"d1".parse().unwrap(), &request.blocks);
    assert_eq!(choose(&engines, &cache, &request, &origin(), NOW).unwrap().decode, 1);
    engines[1].load.record_report(Load { queued: Tokens(20_000), ..Load::default() }, NOW);
    assert_eq!(choose(&engines, &cache, &request, &origin(), NOW).unwrap().decode, 0);
}

#[test]
fn choose_skips_engines_that_accept_no_work() {
    type MakeUnavailable = fn(&mut EngineView);
    let cases: [(&str, MakeUnavailable); 5] = [
        ("leaving", |e| e.leaving = true),
        ("draining", |e| e.draining = true),
        ("unavailable", |e| e.unavailable = true),
        ("breaker open", |e| e.breaker.trip(NOW)),
        ("other model", |e| e.model = "n".parse().unwrap()),
    ];
    for (name, make_unavailable) in cases {
        let mut engines = [engine("d0", Role::Decode), engine("d1", Role::Decode)];
        make_unavailable(&mut engines[0]);
        let cache = CacheIndex::default();
        let pick = choose(&engines, &cache, &request(100), &origin(), NOW).unwrap();
        assert_eq!(pick.decode, 1, "{name}");
        make_unavailable(&mut engines[1]);
        let refused = choose(&engines, &cache, &request(100), &origin(), NOW).unwrap_err();
        assert_eq!(refused.kind, ErrorKind::NoTarget, "{name}");
    }
}

#[test]
fn choose_probes_failing_engines_early_if_no_other_accepts_work() {
    let at = Time::from_millis;
    let mut engines = [engine("d0", Role::Decode), engine("d1", Role::Decode)];
    let cache = CacheIndex::default();
    let pick = |engines: &[EngineView], ms| {
        choose(engines, &cache, &request(100), &origin(), at(ms)).map(|p| p.decode).ok()
    };
    // Failed probes have made the wait of the first engine long.
    for ms in [0, 500, 1_500, 3_500] {
        engines[0].breaker.record_send(at(ms));
        engines[0].breaker.trip(at(ms));
    }
    assert_eq!(pick(&engines, 4_000), Some(1), "the engine without failures");
    engines[1].breaker.trip(at(3_900));
    assert_eq!(pick(&engines, 3_999), None, "too soon after the latest failures");
    assert_eq!(pick(&engines, 4_000), Some(0));
    engines[0].breaker.record_send(at(4_000));
    assert_eq!(pick(&engines, 4_100), None, "a probe is in flight");
    assert_eq!(pick(&engines, 4_400), Some(1));
}

#[test]
fn choose_prefers_its_own_zone_until_the_engine_there_is_full() {
    let mut engines = [engine("far", Role::Decode), engine("near", Role::Decode)];
    engines[0].zone = "b".parse().unwrap();
    let cache = CacheIndex::default();
    assert_eq!(choose(&engines, &cache, &request(100), &origin(), NOW).unwrap().decode, 1);
    engines[1].load.record_report(Load { queued: Tokens(0), running: 40, waiting: 0 }, NOW);
    assert_eq!(choose(&engines, &cache, &request(100), &origin(), NOW).unwrap().decode, 0);
}

/// A registered engine with `runs` requests in flight and `tokens` prompt tokens to prefill.
fn registered(id: &str, role: Role, tokens: u64, runs: u32) -> EngineView {
    let target = Registration {
        id: id.parse().unwrap(),
        boot: Incarnation(1),
        service: "m".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: "nl".parse().unwrap(),
        zone: "a".parse().unwrap(),
        role,
        slots: 32,
        software: "v1".parse().unwrap(),
        leaving: false,
        weights: None,
        spot: None,
        leaves: None,
    };
    let mut view = EngineView::from_registration(&target);
    let in_flight = view.load.in_flight.as_mut().unwrap();
    in_flight.record_start(Tokens(tokens), Rank::FIRST);
    (1..runs).for_each(|_| in_flight.record_start(Tokens(0), Rank::FIRST));
    view
}

/// A prompt with a shared prefix of 10,000 tokens, followed by 1,000 unique ones.
fn shared_prefix_request() -> RoutingRequest {
    RoutingRequest {
        prompt: Tokens(11_000),
        blocks: [PrefixHash(1), PrefixHash(2)].into_iter().collect(),
        lengths: [10_000, 1_000].into_iter().collect(),
        ..request(1)
    }
}

fn note(engine: &str, progress: PrefixProgress) -> PrefixNote {
    PrefixNote { prefix: PrefixHash(1), engine: engine.parse().unwrap(), progress }
}

#[test]
fn choose_uses_the_engine_with_the_shared_prefix_or_fetches_from_it() {
    let mut cache = CacheIndex::default();
    cache.locations.record(&note("p0", PrefixProgress::Ready), NOW);
    let decode = registered("d", Role::Decode, 0, 0);
    let idle = [
        registered("p0", Role::Prefill, 0, 1),
        registered("p1", Role::Prefill, 0, 1),
        decode.clone(),
    ];
    let pick = choose(&idle, &cache, &shared_prefix_request(), &origin(), NOW).unwrap();
    assert_eq!((pick.prefill, pick.hit, pick.fetch), (Some(0), Tokens(10_000), None));
    let busy =
        [registered("p0", Role::Prefill, 20_000, 1), registered("p1", Role::Prefill, 0, 1), decode];
    let pick = choose(&busy, &cache, &shared_prefix_request(), &origin(), NOW).unwrap();
    assert_eq!((pick.prefill, pick.hit, pick.fetch), (Some(1), Tokens(10_000), Some(0)));
}

#[test]
fn choose_does_not_fetch_a_prefix_that_is_still_being_prefilled() {
    let mut cache = CacheIndex::default();
    cache.locations.record(&note("p0", PrefixProgress::Prefilling), NOW);
    let engines = [
        registered("p0", Role::Prefill, 11_000, 1),
        registered("p1", Role::Prefill, 0, 1),
        registered("d", Role::Decode, 0, 0),
    ];
    let pick = choose(&engines, &cache, &shared_prefix_request(), &origin(), NOW).unwrap();
    // The request queues behind the prefill of its prefix or prefills it again on another engine,
    // but never fetches it.
    assert_eq!(pick.fetch, None);
    assert!(pick.prefill == Some(0) || pick.hit == Tokens(0), "{pick:?}");
}

#[test]
fn choose_keeps_long_prefills_off_engines_with_many_streams() {
    let cache = CacheIndex::default();
    let long = RoutingRequest {
        prompt: Tokens(4_000),
        lengths: [4_000].into_iter().collect(),
        ..request(1)
    };
    let disaggregates = |runs: u32| {
        let engines =
            [registered("p", Role::Prefill, 20_000, 1), registered("d", Role::Decode, 0, runs)];
        choose(&engines, &cache, &long, &origin(), NOW).unwrap().prefill.is_some()
    };
    assert!(!disaggregates(1), "an engine with one request prefills the prompt itself");
    assert!(disaggregates(12), "the prefill would delay twelve streams");
}

#[test]
fn choose_avoids_engines_that_failed_the_request() {
    let engines = [registered("d0", Role::Decode, 0, 1), registered("d1", Role::Decode, 0, 20)];
    let cache = CacheIndex::default();
    let failed =
        RoutingRequest { excluded: ["d0".parse().unwrap()].into_iter().collect(), ..request(1) };
    assert_eq!(choose(&engines, &cache, &failed, &origin(), NOW).unwrap().decode, 1);
}

#[test]
fn choose_continues_a_stream_at_its_software_version_only() {
    let mut engines = [registered("d0", Role::Decode, 0, 1), registered("d1", Role::Decode, 0, 20)];
    engines[1].software = "v2".parse().ok();
    let cache = CacheIndex::default();
    let at = |version: &str| RoutingRequest { software: version.parse().ok(), ..request(1) };
    let chosen = |request| choose(&engines, &cache, &request, &origin(), NOW).map(|p| p.decode);
    assert_eq!((chosen(at("v1")), chosen(at("v2"))), (Ok(0), Ok(1)));
    assert_eq!(chosen(at("v3")).unwrap_err().kind, crate::error::ErrorKind::NoTarget);
}

#[test]
fn choose_begins_streams_where_all_instances_know_the_software() {
    let mut engines = [registered("d0", Role::Decode, 0, 20), registered("d1", Role::Decode, 0, 1)];
    engines[1].settled = NOW + std::time::Duration::from_secs(1);
    let cache = CacheIndex::default();
    let stream = RoutingRequest { resumable: true, ..request(1) };
    let chosen = |engines: &[EngineView], request: &RoutingRequest| {
        choose(engines, &cache, request, &origin(), NOW).unwrap().decode
    };
    assert_eq!(chosen(&engines, &stream), 0);
    assert_eq!(chosen(&engines, &request(1)), 1, "no stream");
    engines[0].leaving = true;
    assert_eq!(chosen(&engines, &stream), 1, "no other engine");
}

/// Each case: engines, and what the request waits for.
#[test]
fn choose_names_the_wait() {
    let idle = || registered("p", Role::Prefill, 0, 0);
    let prefilling = |id, role| registered(id, role, 90_000, 1);
    let full = registered("d", Role::Decode, 0, 40);
    let cases = [
        ([prefilling("p", Role::Prefill), prefilling("d", Role::Decode)], Wait::Prefill),
        ([idle(), full], Wait::DecodeSlot),
    ];
    for (engines, expected) in cases {
        let pick = choose(&engines, &CacheIndex::default(), &request(1_000), &origin(), NOW);
        let pick = pick.unwrap();
        assert_eq!((pick.wait, pick.queue_wait.is_zero()), (expected, false));
    }
}

#[test]
fn choose_begins_no_resumable_stream_at_an_unrecorded_version() {
    let engines = |recorded| {
        let decode = EngineView { recorded, ..registered("d", Role::Decode, 0, 0) };
        [registered("p", Role::Prefill, 0, 0), decode]
    };
    let cache = CacheIndex::default();
    let begins = RoutingRequest { resumable: true, ..request(1_000) };
    let continues = RoutingRequest { software: "v1".parse().ok(), ..begins.clone() };
    for (request, recorded, chosen) in [
        (&begins, true, true),
        (&begins, false, false),
        (&continues, false, true),
        (&request(1_000), false, true),
    ] {
        let pick = choose(&engines(recorded), &cache, request, &origin(), NOW);
        assert_eq!(pick.is_ok(), chosen, "resumable={} {recorded}", request.resumable);
    }
}
