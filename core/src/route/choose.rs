use {
    super::{
        cost, Cost, Pick, PrefixCopies, RoutingOrigin, RoutingRequest, KV_TRANSFER_BASE_S,
        KV_TRANSFER_S_PER_TOKEN,
    },
    crate::{
        clock::Time,
        error::{ErrorKind, Fault},
        fleet::{CacheIndex, EngineView},
        manifest::Role,
    },
    std::time::Duration,
};

/// Share of its seconds on a decoding engine that a mixed-in prompt costs the others there.
const MIXED_PREFILL_PENALTY: f64 = 0.5;

/// Weight of the time for which a prefill holds up one running stream: a chunk of the prompt goes
/// before each of its tokens.
const STREAM_DELAY_WEIGHT: f64 = 0.5;
/// Seconds that a full engine is worth avoiding, before its slots are all used.
const FULL_ENGINE_PENALTY_S: f64 = 0.05;

#[derive(Clone, Copy)]
struct Candidate {
    index: usize,
    cost: Cost,
}

/// Chooses the engines for `work`, where `engines` is the table that the pick's indices refer to.
///
/// A prompt is prefilled where it is soonest done: beside the decoding, or on a prefilling engine
/// whose KV cache then moves. Blocks that an engine holds already shorten its cost, and its queue
/// lengthens it, so that a popular prefix spreads as soon as its holder is busy.
///
/// # Errors
/// [`ErrorKind::NoTarget`] if no engine is open for the work.
pub fn choose(
    engines: &[EngineView],
    cache: &CacheIndex,
    work: &RoutingRequest,
    place: &RoutingOrigin,
    now: Time,
) -> Result<Pick, Fault> {
    let mut prefill: Option<Candidate> = None;
    let mut decode: Option<Candidate> = None;
    let mut direct: Option<Candidate> = None;
    let copies = PrefixCopies::of(engines, &cache.locations, work, now);
    for (index, engine) in engines.iter().enumerate() {
        if !fits(engine, work, now) {
            continue;
        }
        let cost = cost(engine, index, cache, work, place, &copies, now);
        let found = Candidate { index, cost };
        match engine.role {
            Role::Prefill => keep(&mut prefill, found, |c| c.prefill + c.network + c.uncertainty),
            Role::Decode => {
                keep(&mut decode, found, |c| {
                    c.slot
                        + c.network
                        + c.per_token
                        + c.utilization * FULL_ENGINE_PENALTY_S
                        + c.uncertainty
                });
                keep(&mut direct, found, |c| {
                    c.prefill.max(c.slot)
                        + c.network
                        + c.utilization * FULL_ENGINE_PENALTY_S
                        + c.uncertainty
                });
            }
        }
    }
    let whole = direct.map(|d| mixed(d, work));
    let split = prefill.zip(decode).map(|(p, d)| split(p, d, work));
    match (whole, split) {
        (Some((a, x)), Some((b, y))) => Ok(if x <= y { a } else { b }),
        (Some((pick, _)), None) | (None, Some((pick, _))) => Ok(pick),
        (None, None) => {
            let text = format!("no engine is open for model {:?}", work.model.as_str());
            Err(Fault::new(ErrorKind::NoTarget, text))
        }
    }
}

fn fits(engine: &EngineView, work: &RoutingRequest, now: Time) -> bool {
    let loaded = work.adapter.as_ref().is_none_or(|a| engine.adapters.contains(a));
    let avoided = work.excluded.contains(&engine.id);
    engine.model == work.model && loaded && !avoided && engine.accepts_work(now)
}

fn keep(best: &mut Option<Candidate>, found: Candidate, score: impl Fn(&Cost) -> f64) {
    if best.is_none_or(|b| score(&found.cost) < score(&b.cost)) {
        *best = Some(found);
    }
}

/// The whole request on one decoding engine, with its score.
fn mixed(d: Candidate, work: &RoutingRequest) -> (Pick, f64) {
    let first = |prefill: f64| prefill.max(d.cost.slot) + d.cost.network + d.cost.per_token;
    let held_up = MIXED_PREFILL_PENALTY + STREAM_DELAY_WEIGHT * f64::from(d.cost.streams);
    let score = first(d.cost.prefill) + held_up * d.cost.prefill;
    let wait = d.cost.queue.max(d.cost.slot);
    (pick(d, None, [first(d.cost.known_prefill), wait], d.cost, work), score)
}

/// Prefill on one engine, decode on another, with its score.
fn split(p: Candidate, d: Candidate, work: &RoutingRequest) -> (Pick, f64) {
    let moved = KV_TRANSFER_BASE_S + work.prompt.0 as f64 * KV_TRANSFER_S_PER_TOKEN;
    let first = |prefill: f64| {
        let ready = prefill + p.cost.network + moved;
        ready.max(d.cost.slot) + d.cost.network + d.cost.per_token
    };
    let score = first(p.cost.prefill);
    let wait = p.cost.queue.max(d.cost.slot);
    (pick(d, Some(p.index), [first(p.cost.known_prefill), wait], p.cost, work), score)
}

fn pick(
    d: Candidate,
    prefill: Option<usize>,
    [first, wait]: [f64; 2],
    read: Cost,
    work: &RoutingRequest,
) -> Pick {
    let end = first + work.output.0 as f64 * d.cost.per_token;
    Pick {
        decode: d.index,
        prefill,
        first: Duration::from_secs_f64(first),
        wait: Duration::from_secs_f64(wait),
        end: Duration::from_secs_f64(end),
        hit: read.hit,
        fetch: read.fetch,
    }
}
