use {
    super::{PrefixCopies, PrefixReuse, RoutingOrigin, RoutingRequest},
    crate::{
        clock::Time,
        fleet::{CacheIndex, EngineView, Load, BLOCK_TOKENS},
        ids::Tokens,
        manifest::Role,
    },
};

/// Time to transfer the KV cache of one token between engines.
pub const KV_TRANSFER_S_PER_TOKEN: f64 = 5e-6;
/// Fixed time of a KV cache transfer between engines, whatever its size.
pub const KV_TRANSFER_BASE_S: f64 = 0.01;
/// Report age from which the uncertainty of a load no longer grows: an older report does not
/// help to predict the present load.
const MAX_REPORT_AGE_S: f64 = 5.0;
/// Seconds of work by which the load of an engine may change in a second.
const LOAD_DRIFT_PER_S: f64 = 0.05;
/// Difference in cost below which engines with tracked in-flight work count as equal, so that the
/// choice between them is random.
const TIE_MARGIN_S: f64 = 0.002;
/// The same among targets of plain services that announce their pace, as a multiple of the time of a
/// request. What other instances have in flight is known later than such requests end, so with a
/// smaller margin the instances choose the same target at the same time.
const PACED_MARGIN: f64 = 2.0;
/// Cost of copying a shared prefix to another engine whose memory and link are unknown: the transfer
/// takes 15 ms, and the copy evicts other prefixes from that engine's KV cache.
const PREFIX_FETCH_S: f64 = 0.08;
/// Network latency to an engine in another availability zone.
const OTHER_ZONE_S: f64 = 0.002;
/// Preference for a registered engine in the instance's own availability zone: the instance knows
/// its load best there, and traffic between zones has a cost.
const OWN_ZONE_PREFERENCE_S: f64 = 0.002;
/// Network latency to an engine in another region.
const OTHER_REGION_S: f64 = 0.25;

/// Estimated cost of running a request on one engine; times are in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// Time until the prompt is prefilled, assuming that the other instances send as much work to
    /// the engine as this one.
    pub prefill: f64,
    /// Time until the prompt is prefilled, counting only known work.
    pub known_prefill: f64,
    /// Time until the prefill of the prompt begins, counting only known work.
    pub queue_wait: f64,
    /// Part of the wait for a permit of the engine's rate limit.
    pub permit_wait: f64,
    /// Time until a decode slot is free.
    pub slot_wait: f64,
    /// Time between two output tokens at the current load.
    pub per_token: f64,
    /// Factor by which work takes longer there at the moment.
    pub pace: f64,
    /// Seconds by which a token, or a plain request, takes longer there than on average at the
    /// service's targets; 0 if the engine announces no pace.
    pub slowness: f64,
    /// Network latency to the engine.
    pub network: f64,
    /// Decode slots in use or waited for, as a share of all slots; above 1 if requests wait.
    pub utilization: f64,
    /// Random share of the time by which the actual load may differ from the estimate, which grows
    /// with the age of the load report.
    pub uncertainty: f64,
    /// Prompt tokens that need no prefill here, because they are cached or can be fetched.
    pub hit: Tokens,
    /// Whether that is only assumed of this engine, or may have been evicted.
    pub assumed: bool,
    /// Running streams that a prefill on this engine would delay; 0 if they are not tracked.
    pub streams: u32,
    /// Index of the engine to fetch the cached tokens from, if they are on another one.
    pub fetch: Option<usize>,
}

/// Estimates the cost of running `request` on `engine`, which has `index` in the engine table.
pub fn cost(
    engine: &EngineView,
    index: usize,
    cache: &CacheIndex,
    request: &RoutingRequest,
    origin: &RoutingOrigin,
    copies: &PrefixCopies,
    now: Time,
) -> Cost {
    let rate = engine.prefill_rate();
    let load = engine.load.expected_ahead_of(request.rank, rate, origin.instances, now);
    // Known work is the in-flight work that all instances announce, or, on engines followed by
    // load reports, the report and this instance's own sends since then.
    let known = match engine.load.in_flight {
        Some(_) => load,
        None => engine.load.expected(rate, 1, now),
    };
    let permit_wait = engine.limit.wait(now).as_secs_f64();
    let pace = engine.pace.at(now);
    let per_token = token_interval(engine, &load) * pace;
    let queue = known.queued.0 as f64 / rate;
    let queue_delay = engine.pace.delay(queue, now);
    let queue_wait = queue + permit_wait + queue_delay;
    let assumed = copies.is_assumed(index);
    let reuse = match (engine.load.in_flight.as_ref(), copies.held()) {
        (Some(_), Some(held)) => held.reuse_at(engine, index, request, queue_wait, now),
        (Some(_), None) => {
            let (hit, fetch) = copies.reuse_at(index);
            let others_s = if fetch.is_some() { PREFIX_FETCH_S } else { 0.0 };
            PrefixReuse { hit, fetch, others_s, uncertain: assumed, ..PrefixReuse::default() }
        }
        (None, _) => {
            let hit = cache.hit_blocks(&engine.id, &request.blocks) * BLOCK_TOKENS.0 as f64;
            let hit = Tokens((hit as u64).min(request.prompt.0));
            PrefixReuse { hit, uncertain: assumed, ..PrefixReuse::default() }
        }
    };
    let PrefixReuse { hit, fetch, .. } = reuse;
    let pending = (load.queued + request.prompt - hit).0 as f64;
    let work = (request.prompt - hit).0 as f64 / rate;
    let work_delay = engine.pace.delay(queue + work, now) - queue_delay;
    let known_prefill = queue_wait + work + work_delay + reuse.transfer_s;
    let network = match () {
        () if engine.region != origin.region => OTHER_REGION_S,
        () if engine.zone != origin.zone && engine.load.in_flight.is_some() => {
            OWN_ZONE_PREFERENCE_S
        }
        () if engine.zone != origin.zone => OTHER_ZONE_S,
        () => 0.0,
    };
    let spreads = engine.speed.plain.is_known() && request.prompt.0 == 0;
    let margin = if spreads { TIE_MARGIN_S.max(PACED_MARGIN * per_token) } else { TIE_MARGIN_S };
    Cost {
        prefill: pending / rate
            + engine.pace.delay(pending / rate, now)
            + permit_wait
            + reuse.transfer_s
            + reuse.others_s,
        known_prefill,
        queue_wait,
        permit_wait,
        slot_wait: slot_wait(engine, &load, request) * pace + permit_wait,
        per_token,
        pace,
        slowness: slowness(engine, per_token, pace),
        network,
        utilization: f64::from(load.running + load.waiting) / f64::from(engine.rates.slots),
        uncertainty: random_uncertainty(engine, origin, index, margin, now),
        hit,
        assumed: reuse.uncertain,
        fetch,
        streams: engine.load.in_flight.as_ref().map_or(0, |_| load.running),
    }
}

/// Returns the seconds until a slot is free, with one slot freed each time that the engine has
/// decoded as many tokens as a whole output.
fn slot_wait(engine: &EngineView, load: &Load, request: &RoutingRequest) -> f64 {
    let used = load.running + load.waiting;
    let over = (used + 1).saturating_sub(engine.rates.slots);
    f64::from(over) * request.output.0 as f64 / engine.rates.decode.0
}

/// Returns the part of `per_token` that is due to the engine's lasting speed and present pace.
fn slowness(engine: &EngineView, per_token: f64, pace: f64) -> f64 {
    if !engine.pace.is_announced() {
        return 0.0;
    }
    // An engine does only one of both kinds of work; the factor of the other is 1.
    let speed = engine.speed.plain.get() * engine.speed.decode.get();
    per_token * (1.0 - 1.0 / (pace * speed))
}

/// Returns the seconds between two tokens of a stream, longer while the engine also prefills.
fn token_interval(engine: &EngineView, load: &Load) -> f64 {
    let alone = f64::from(engine.rates.slots) / engine.rates.decode.0;
    match engine.role {
        Role::Decode if load.queued.0 > 0 => alone / (1.0 - crate::fleet::MAX_MIXED_PREFILL_SHARE),
        _ => alone,
    }
}

/// Returns a random number from 0 to the seconds by which the load may have changed since its
/// report.
fn random_uncertainty(
    engine: &EngineView,
    origin: &RoutingOrigin,
    index: usize,
    margin: f64,
    now: Time,
) -> f64 {
    if engine.load.in_flight.is_some() {
        return origin.random(index) * margin;
    }
    let age = (now - engine.load.reported_at()).as_secs_f64().min(MAX_REPORT_AGE_S);
    origin.random(index) * age * LOAD_DRIFT_PER_S
}
