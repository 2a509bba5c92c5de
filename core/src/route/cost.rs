use {
    super::{PrefixCopies, RoutingOrigin, RoutingRequest},
    crate::{
        clock::Time,
        fleet::{CacheIndex, EngineView, Load, BLOCK_TOKENS},
        ids::Tokens,
        manifest::Role,
    },
};

/// Seconds for which a token's KV cache is on its way between engines.
pub const KV_TRANSFER_S_PER_TOKEN: f64 = 5e-6;
/// Seconds that any move between engines takes.
pub const KV_TRANSFER_BASE_S: f64 = 0.01;
/// Age in seconds from which reports say nothing more.
const MAX_REPORT_AGE_S: f64 = 5.0;
/// Seconds of work by which a load may change in a second.
const LOAD_DRIFT_PER_S: f64 = 0.05;
/// Difference in seconds below which engines with known work count as equal.
const TIE_MARGIN_S: f64 = 0.002;
/// Seconds that another copy of a shared part costs: its way takes 15 ms, and the memory that it
/// fills makes other parts yield.
const PREFIX_FETCH_S: f64 = 0.08;
const OTHER_ZONE_S: f64 = 0.002; // seconds
/// Seconds of work by which a registered engine in the instance's own availability zone is
/// preferred: its load is known best there, and bytes between zones cost.
const OWN_ZONE_PREFERENCE_S: f64 = 0.002;
const OTHER_REGION_S: f64 = 0.25; // seconds

/// What one engine would cost a request, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// Until the prompt is prefilled, if the other instances send as this one does.
    pub prefill: f64,
    /// Until the prompt is prefilled, by what is known for certain.
    pub known_prefill: f64,
    /// Until the prompt's prefill begins, by what is known for certain.
    pub queue: f64,
    /// Until a decode slot is free.
    pub slot: f64,
    /// Between the tokens, with the load that is there now.
    pub per_token: f64,
    /// Way to the engine.
    pub network: f64,
    /// Part of the decode slots in use.
    pub utilization: f64,
    /// By how much the load may differ from what is expected, for want of a fresh report.
    pub uncertainty: f64,
    /// Prompt tokens that it holds already.
    pub hit: Tokens,
    /// Streams that a prefill here would hold up, where they are known.
    pub streams: u32,
    /// Engine to fetch them from, if it is another.
    pub fetch: Option<usize>,
}

/// Estimates what `engine`, at `index` of its table, would cost `work` at `now`.
pub fn cost(
    engine: &EngineView,
    index: usize,
    cache: &CacheIndex,
    work: &RoutingRequest,
    place: &RoutingOrigin,
    copies: &PrefixCopies,
    now: Time,
) -> Cost {
    let rate = engine.prefill_rate();
    let load = engine.load.expected_ahead_of(work.rank, rate, place.instances, now);
    // What is known for certain: this instance's own sends, or those that all have told.
    let known = match engine.load.in_flight {
        Some(_) => load,
        None => engine.load.expected(rate, 1, now),
    };
    let (hit, fetch) = match engine.load.in_flight {
        Some(_) => copies.at(index),
        None => {
            let hit = cache.hit_blocks(&engine.id, &work.blocks) * BLOCK_TOKENS.0 as f64;
            (Tokens((hit as u64).min(work.prompt.0)), None)
        }
    };
    let todo = (load.queued + work.prompt - hit).0 as f64;
    let queue = known.queued.0 as f64 / rate;
    let known = queue + (work.prompt - hit).0 as f64 / rate;
    let way = match () {
        () if engine.region != place.region => OTHER_REGION_S,
        () if engine.zone != place.zone && engine.load.in_flight.is_some() => OWN_ZONE_PREFERENCE_S,
        () if engine.zone != place.zone => OTHER_ZONE_S,
        () => 0.0,
    };
    Cost {
        prefill: todo / rate + if fetch.is_some() { PREFIX_FETCH_S } else { 0.0 },
        known_prefill: known,
        queue,
        slot: slot_wait(engine, &load, work),
        per_token: between(engine, &load),
        network: way,
        utilization: f64::from(load.running + load.waiting) / f64::from(engine.rates.slots),
        uncertainty: doubt(engine, place, index, now),
        hit,
        fetch,
        streams: engine.load.in_flight.as_ref().map_or(0, |_| load.running),
    }
}

/// Seconds until a slot is free: one is freed each time a whole output is decoded.
fn slot_wait(engine: &EngineView, load: &Load, work: &RoutingRequest) -> f64 {
    let used = load.running + load.waiting;
    let over = (used + 1).saturating_sub(engine.rates.slots);
    f64::from(over) * work.output.0 as f64 / engine.rates.decode.0
}

/// Seconds between tokens, longer while prefill is mixed in.
fn between(engine: &EngineView, load: &Load) -> f64 {
    let alone = f64::from(engine.rates.slots) / engine.rates.decode.0;
    match engine.role {
        Role::Decode if load.queued.0 > 0 => alone / (1.0 - crate::fleet::MAX_MIXED_PREFILL_SHARE),
        _ => alone,
    }
}

/// A number from 0 to the seconds by which the load may have changed since its report.
fn doubt(engine: &EngineView, place: &RoutingOrigin, index: usize, now: Time) -> f64 {
    if engine.load.in_flight.is_some() {
        return place.random(index) * TIE_MARGIN_S;
    }
    let age = (now - engine.load.reported_at()).as_secs_f64().min(MAX_REPORT_AGE_S);
    place.random(index) * age * LOAD_DRIFT_PER_S
}
