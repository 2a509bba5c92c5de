//! Engines and requests of the loads that are played in virtual time.

use lentil_core::{
    fleet::{EngineView, Registration},
    ids::{Incarnation, Millis, PrefixHash, Rank, Tokens},
    manifest::{ClassSpec, Role},
    route::{RoutingOrigin, RoutingRequest},
};

/// Prompt tokens that an engine reads in a second; what registered engines are taken for at first.
pub const RATE: f64 = 30_000.0;
/// Engines of each role.
pub const ENGINES: usize = 4;
/// Streams on each decoding engine.
const STREAMS: usize = 40;
/// Latest first piece, in milliseconds.
pub const OBJECTIVE: u64 = 800;

/// [`ENGINES`] that prefill, then as many that decode.
pub fn engines() -> Vec<EngineView> {
    let mut engines: Vec<EngineView> = (0..ENGINES).map(|i| engine(i, Role::Prefill)).collect();
    engines.extend((0..ENGINES).map(|i| engine(i, Role::Decode)));
    for decode in &mut engines[ENGINES..] {
        let streams = decode.load.in_flight.as_mut().unwrap();
        (0..STREAMS).for_each(|_| streams.started(Tokens(0), Rank::FIRST));
    }
    engines
}

fn engine(i: usize, role: Role) -> EngineView {
    EngineView::registered(&Registration {
        id: format!("{role}-{i}").parse().unwrap(),
        boot: Incarnation(1),
        service: "s".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: "r".parse().unwrap(),
        zone: "z".parse().unwrap(),
        role,
        slots: 64,
        leaving: false,
        weights: None,
    })
}

/// A request of `rank` with a prompt of its own.
pub fn work(number: u64, prompt: u64, rank: Rank) -> RoutingRequest {
    RoutingRequest {
        model: "s".parse().unwrap(),
        adapter: None,
        prompt: Tokens(prompt),
        output: Tokens(20),
        blocks: [PrefixHash(number)].into_iter().collect(),
        lengths: [prompt as u32].into_iter().collect(),
        excluded: Default::default(),
        class: ClassSpec {
            first: Millis(OBJECTIVE),
            between: Millis(300),
            deadline: Millis(6_000),
            priority: rank.priority(),
        },
        rank,
    }
}

/// Where the only instance decides on a request.
pub fn place(number: u64) -> RoutingOrigin {
    RoutingOrigin {
        region: "r".parse().unwrap(),
        zone: "z".parse().unwrap(),
        instances: 1,
        salt: number,
    }
}
