use {
    super::{shared_prefix, shared_prefix_tokens, RoutingRequest, MIN_FETCH_TOKENS},
    crate::{fleet::EngineView, ids::PrefixHash, manifest::Role},
};

/// Returns the index of the engine on which all instances expect the shared prefix of `request`,
/// among the prefilling ones that `allows` accepts; `None` for a short prefix.
///
/// An instance that hears of the copies of a part of the others only would have most prefixes read
/// again. With rendezvous hashing the instances agree on an engine without a message, and only the
/// prefixes of an engine that comes or goes move.
pub fn prefix_home(
    engines: &[EngineView],
    request: &RoutingRequest,
    allows: impl Fn(&EngineView) -> bool,
) -> Option<usize> {
    let prefix = shared_prefix(request)?;
    if shared_prefix_tokens(request) < MIN_FETCH_TOKENS {
        return None;
    }
    let candidates = engines.iter().enumerate();
    let candidates = candidates.filter(|(_, e)| e.role == Role::Prefill && allows(e));
    candidates.max_by_key(|(_, e)| weight(prefix, e.id.as_str())).map(|(index, _)| index)
}

/// Returns the weight of an engine for a prefix: FNV-1a of its name, mixed with the prefix
/// (splitmix64).
fn weight(prefix: PrefixHash, engine: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    let name = engine.bytes().fold(0xcbf2_9ce4_8422_2325, step);
    let mut x = name ^ prefix.0.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
