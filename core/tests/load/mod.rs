//! Engines and requests for load simulations in virtual time.

use lentil_core::{
    fleet::{EngineView, Registration},
    ids::{Incarnation, Millis, PrefixHash, Rank, Tokens},
    manifest::{ClassSpec, Role},
    route::{RoutingOrigin, RoutingRequest},
};

/// Prefill rate of an engine; equal to the initial rate that is assumed for registered engines.
pub const PREFILL_TOKENS_PER_S: f64 = 30_000.0;
/// Number of engines of each role.
pub const ENGINES_PER_ROLE: usize = 4;
/// Running streams on each decoding engine.
const STREAMS_PER_ENGINE: usize = 40;
/// Target for the time to first token.
pub const TTFT_TARGET_MS: u64 = 800;

/// [`ENGINES_PER_ROLE`] prefilling engines, followed by as many decoding ones.
pub fn engines() -> Vec<EngineView> {
    let mut engines: Vec<EngineView> =
        (0..ENGINES_PER_ROLE).map(|i| engine(i, Role::Prefill)).collect();
    engines.extend((0..ENGINES_PER_ROLE).map(|i| engine(i, Role::Decode)));
    for decode in &mut engines[ENGINES_PER_ROLE..] {
        let in_flight = decode.load.in_flight.as_mut().unwrap();
        (0..STREAMS_PER_ENGINE).for_each(|_| in_flight.record_start(Tokens(0), Rank::FIRST));
    }
    engines
}

fn engine(i: usize, role: Role) -> EngineView {
    EngineView::from_registration(&Registration {
        id: format!("{role}-{i}").parse().unwrap(),
        boot: Incarnation(1),
        service: "s".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: "r".parse().unwrap(),
        zone: "z".parse().unwrap(),
        role,
        slots: 64,
        software: "v1".parse().unwrap(),
        leaving: false,
        weights: None,
        spot: None,
        leaves: None,
    })
}

/// A request of `rank` whose prompt shares no prefix with others.
pub fn request(number: u64, prompt: u64, rank: Rank) -> RoutingRequest {
    RoutingRequest {
        model: "s".parse().unwrap(),
        adapter: None,
        prompt: Tokens(prompt),
        output: Tokens(20),
        blocks: [PrefixHash(number)].into_iter().collect(),
        lengths: [prompt as u32].into_iter().collect(),
        resumable: false,
        software: None,
        excluded: Default::default(),
        class: ClassSpec {
            first: Millis(TTFT_TARGET_MS),
            between: Millis(300),
            deadline: Millis(6_000),
            priority: rank.priority(),
        },
        rank,
    }
}

/// The routing origin of request `number` at the only instance.
pub fn origin(number: u64) -> RoutingOrigin {
    RoutingOrigin {
        partial: false,
        region: "r".parse().unwrap(),
        zone: "z".parse().unwrap(),
        instances: 1,
        salt: number,
    }
}
