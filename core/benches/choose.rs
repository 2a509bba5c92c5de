//! Time of one choice of engines for a long prompt among 170 engines, by the rule for cached prefixes.

use {
    criterion::Criterion,
    lentil_core::{
        clock::Time,
        fleet::{CacheIndex, EngineView, KvCache, PrefixNote, PrefixProgress, Registration},
        ids::{Bytes, Incarnation, Millis, PrefixHash, Rank, Tokens},
        manifest::{ClassSpec, Role},
        route::{choose, RoutingOrigin, RoutingRequest},
    },
    std::hint::black_box,
};

const PREFILLING: usize = 60;
const ENGINES: usize = 170;
/// Prefixes in the memory of each prefilling engine.
const HELD: u64 = 27;
const KV: KvCache =
    KvCache { memory: Tokens(366_134), token_bytes: Bytes(327_680), link: 1_800e9 / 8.0 };

fn engine(index: usize) -> EngineView {
    let role = if index < PREFILLING { Role::Prefill } else { Role::Decode };
    EngineView::from_registration(&Registration {
        id: format!("i-{index:010}").parse().unwrap(),
        boot: Incarnation(1),
        service: "s".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: "r".parse().unwrap(),
        zone: format!("z{}", index % 3).parse().unwrap(),
        role,
        slots: 12,
        software: "v1".parse().unwrap(),
        leaving: false,
        spot: None,
        leaves: None,
        weights: None,
    })
}

fn request() -> RoutingRequest {
    RoutingRequest {
        model: "s".parse().unwrap(),
        adapter: None,
        prompt: Tokens(17_020),
        output: Tokens(7),
        blocks: [PrefixHash(7), PrefixHash(u64::MAX)].into_iter().collect(),
        lengths: [13_300, 3_720].into_iter().collect(),
        resumable: false,
        software: None,
        excluded: Default::default(),
        class: ClassSpec {
            first: Millis(600),
            between: Millis(250),
            deadline: Millis(6_000),
            priority: 1,
        },
        rank: Rank::FIRST,
    }
}

fn bench_choose(c: &mut Criterion) {
    let now = Time::from_millis(1_000);
    let origin = RoutingOrigin {
        region: "r".parse().unwrap(),
        zone: "z0".parse().unwrap(),
        instances: 78,
        partial: false,
        salt: 7,
    };
    let request = request();
    for (name, kv) in [("fixed", None), ("weighed", Some(KV))] {
        let mut engines: Vec<EngineView> = (0..ENGINES).map(engine).collect();
        let mut cache = CacheIndex::default();
        for (index, engine) in engines.iter_mut().enumerate().take(PREFILLING) {
            engine.kv = kv;
            for prefix in (0..HELD).map(|i| PrefixHash(i * 30 + index as u64 % 30)) {
                engine.record_prefix(prefix, PrefixProgress::Ready, Some(Tokens(13_300)), now);
                let progress = PrefixProgress::Ready;
                let note = PrefixNote { prefix, engine: engine.id.clone(), progress };
                cache.locations.record(&note, now);
            }
        }
        engines.iter_mut().for_each(|e| e.kv = kv);
        c.bench_function(&format!("choose_{name}"), |b| {
            b.iter(|| choose(black_box(&engines), &cache, &request, &origin, now));
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_choose(&mut criterion);
    criterion.final_summary();
}
