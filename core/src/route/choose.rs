use {
    super::{
        cost, prefix_home, Cost, HeldCopies, Pick, PrefixCopies, RoutingOrigin, RoutingRequest,
        Wait, KV_TRANSFER_BASE_S, KV_TRANSFER_S_PER_TOKEN,
    },
    crate::{
        clock::Time,
        error::{ErrorKind, Fault},
        fleet::{Availability, CacheIndex, EngineView},
        manifest::Role,
    },
    std::time::Duration,
};

/// Cost of a prefill on a decoding engine to the other requests there, as a share of the
/// prefill's duration.
const MIXED_PREFILL_PENALTY: f64 = 0.5;

/// Weight of the delay that a prefill causes to each running stream: the engine processes a chunk
/// of the prompt before each token of the stream.
const STREAM_DELAY_WEIGHT: f64 = 0.5;
/// Penalty for an engine with all decode slots in use. It is scaled by the slot utilization, so
/// that requests avoid an engine before it is full.
const FULL_ENGINE_PENALTY_S: f64 = 0.05;

#[derive(Clone, Copy)]
struct Candidate {
    index: usize,
    cost: Cost,
}

/// Chooses the engines for `request`; the indices in the result refer to `engines`.
///
/// The prompt is prefilled where that completes soonest: on the decoding engine itself, or on a
/// prefilling engine whose KV cache is then transferred. Cached blocks lower the cost of an engine
/// and its queue raises it, so a popular prefix is copied to further engines as soon as the one
/// that has it is busy. Where the engines' memories and links are known, [`HeldCopies`] weighs the
/// reuse of a prefix; an instance that hears of a part of the others only does not know enough for
/// that, and relies on [`prefix_home`].
///
/// An engine whose software other instances may not know yet begins a stream only if no other engine
/// can. If all engines that could run the request fail, they are probed early.
///
/// # Errors
/// [`ErrorKind::NoTarget`] if no engine accepts the request.
pub fn choose(
    engines: &[EngineView],
    cache: &CacheIndex,
    request: &RoutingRequest,
    origin: &RoutingOrigin,
    now: Time,
) -> Result<Pick, Fault> {
    let avoided = |e: &EngineView| request.avoids_software(e, now);
    let accepts = |e: &EngineView| e.accepts_work(now);
    let settled = |e: &EngineView| accepts(e) && !avoided(e);
    let choose_among = |accepts: &dyn Fn(&EngineView) -> bool| {
        choose_if(engines, cache, request, origin, accepts, now)
    };
    let found = match engines.iter().any(avoided) {
        true => choose_among(&settled).or_else(|_| choose_among(&accepts)),
        false => choose_among(&accepts),
    };
    match found {
        Err(fault) if fault.kind == ErrorKind::NoTarget => {
            choose_among(&|e| e.accepts_early_probe(now))
        }
        found => found,
    }
}

/// Like [`choose`], among the engines for which `accepts` returns true.
fn choose_if(
    engines: &[EngineView],
    cache: &CacheIndex,
    request: &RoutingRequest,
    origin: &RoutingOrigin,
    accepts: impl Fn(&EngineView) -> bool,
    now: Time,
) -> Result<Pick, Fault> {
    let mut prefill: Option<Candidate> = None;
    let mut decode: Option<Candidate> = None;
    let mut both: Option<Candidate> = None;
    let excluded = |e: &EngineView| request.excluded.contains(&e.id);
    let eligible = |e: &EngineView| is_suitable(e, request) && !excluded(e) && accepts(e);
    let copies = match HeldCopies::find(engines, request, now).filter(|_| !origin.partial) {
        Some(held) => PrefixCopies::weighed(held),
        None => {
            let home = origin.partial.then(|| prefix_home(engines, request, eligible)).flatten();
            PrefixCopies::find(engines, &cache.locations, request, now).with_assumed(home)
        }
    };
    for (index, engine) in engines.iter().enumerate() {
        if !eligible(engine) {
            continue;
        }
        let cost = cost(engine, index, cache, request, origin, &copies, now);
        let found = Candidate { index, cost };
        match engine.role {
            Role::Prefill => {
                keep_cheapest(&mut prefill, found, |c| c.prefill + c.network + c.uncertainty);
            }
            Role::Decode => {
                keep_cheapest(&mut decode, found, |c| {
                    c.slot_wait
                        + c.network
                        + c.per_token
                        + c.utilization * FULL_ENGINE_PENALTY_S
                        + c.uncertainty
                });
                keep_cheapest(&mut both, found, |c| {
                    c.prefill.max(c.slot_wait)
                        + c.slowness
                        + c.network
                        + c.utilization * FULL_ENGINE_PENALTY_S
                        + c.uncertainty
                });
            }
        }
    }
    let colocated = both.map(|d| colocated(d, request));
    let disaggregated = prefill.zip(decode).map(|(p, d)| disaggregated(p, d, request));
    match (colocated, disaggregated) {
        (Some((a, x)), Some((b, y))) => Ok(if x <= y { a } else { b }),
        (Some((pick, _)), None) | (None, Some((pick, _))) => Ok(pick),
        (None, None) => Err(no_engine(engines, request, now)),
    }
}

/// Returns the fault for a request that no engine accepts. If engines could run it but want no
/// requests now, it says when the first of them does.
fn no_engine(engines: &[EngineView], request: &RoutingRequest, now: Time) -> Fault {
    let held = engines.iter().filter(|e| e.role == Role::Decode && e.is_held(now));
    let held = held.filter(|e| is_suitable(e, request) && e.would_accept_work(now));
    if let Some(until) = held.map(|e| e.held).min() {
        let text = "the engines that could run the request want none for a time";
        return Fault::new(ErrorKind::NoCapacity, text).with_earliest_retry(until - now);
    }
    let states = describe_engines(engines, request, now);
    let model = request.model.as_str();
    let text = format!("no engine accepts requests for model {model:?} ({states})");
    Fault::new(ErrorKind::NoTarget, text)
}

/// Counts the model's engines by role and availability, and those that have failed this request.
fn describe_engines(engines: &[EngineView], request: &RoutingRequest, now: Time) -> String {
    let of_model: Vec<&EngineView> = engines.iter().filter(|e| e.model == request.model).collect();
    let mut text = format!("known={} tried={}", of_model.len(), request.excluded.len());
    for role in [Role::Prefill, Role::Decode] {
        for state in Availability::ALL {
            let matches = |e: &&&EngineView| e.role == role && e.availability(now) == state;
            let count = of_model.iter().filter(matches).count();
            if count > 0 {
                text += &format!(" {role}-{}={count}", state.label());
            }
        }
    }
    text
}

/// Returns whether the engine could run the request, whatever its present state.
fn is_suitable(engine: &EngineView, request: &RoutingRequest) -> bool {
    let loaded = request.adapter.as_ref().is_none_or(|a| engine.adapters.contains(a));
    engine.model == request.model && loaded && request.accepts_software(engine)
}

fn keep_cheapest(best: &mut Option<Candidate>, found: Candidate, score: impl Fn(&Cost) -> f64) {
    if best.is_none_or(|b| score(&found.cost) < score(&b.cost)) {
        *best = Some(found);
    }
}

/// Returns the pick that prefills and decodes on the same engine, with its score.
fn colocated(d: Candidate, request: &RoutingRequest) -> (Pick, f64) {
    let first = |prefill: f64| prefill.max(d.cost.slot_wait) + d.cost.network + d.cost.per_token;
    let delay_weight = MIXED_PREFILL_PENALTY + STREAM_DELAY_WEIGHT * f64::from(d.cost.streams);
    let score = first(d.cost.prefill) + delay_weight * d.cost.prefill;
    (build_pick(d, None, first(d.cost.known_prefill), d.cost, request), score)
}

/// Returns the pick that prefills on one engine and decodes on another, with its score.
fn disaggregated(p: Candidate, d: Candidate, request: &RoutingRequest) -> (Pick, f64) {
    let transfer = KV_TRANSFER_BASE_S + request.prompt.0 as f64 * KV_TRANSFER_S_PER_TOKEN;
    let transfer = transfer * p.cost.pace;
    let first = |prefill: f64| {
        let ready = prefill + p.cost.network + transfer;
        ready.max(d.cost.slot_wait) + d.cost.network + d.cost.per_token
    };
    let score = first(p.cost.prefill);
    (build_pick(d, Some(p.index), first(p.cost.known_prefill), p.cost, request), score)
}

fn build_pick(
    d: Candidate,
    prefill: Option<usize>,
    first: f64,
    prefill_cost: Cost,
    request: &RoutingRequest,
) -> Pick {
    let (queue, slot) = (prefill_cost.queue_wait, d.cost.slot_wait);
    let (wait, kind, permit) = match queue >= slot {
        true => (queue, Wait::Prefill, prefill_cost.permit_wait),
        false => (slot, Wait::DecodeSlot, d.cost.permit_wait),
    };
    let end = first + request.output.0 as f64 * d.cost.per_token;
    Pick {
        decode: d.index,
        prefill,
        first_token: Duration::from_secs_f64(first),
        queue_wait: Duration::from_secs_f64(wait),
        wait: if permit > wait / 2.0 { Wait::Permit } else { kind },
        end: Duration::from_secs_f64(end),
        hit: prefill_cost.hit,
        assumed: prefill_cost.assumed,
        fetch: prefill_cost.fetch,
    }
}
