use {
    super::task::Task,
    crate::{app::Fleet, ports::Target},
    lentil_core::{
        clock::Time,
        fleet::{CacheIndex, EngineView, PrefixNote, PrefixProgress},
        ids::EngineId,
        route::{shared_prefix, shared_prefix_tokens, Pick, RoutingRequest, MIN_FETCH_TOKENS},
    },
    std::time::Duration,
};

/// Records that an engine holds or prefills the shared prefix of a prompt.
///
/// Where cached prefixes are weighed against the wait, the other instances get no note of a short
/// prefix: its prefill takes less time than the estimates of the queues are accurate to.
pub(super) fn record_prefix(
    fleet: &mut Fleet,
    cache: &mut CacheIndex,
    routing: &RoutingRequest,
    id: &EngineId,
    progress: PrefixProgress,
    now: Time,
) {
    let Some(prefix) = shared_prefix(routing) else { return };
    let tokens = shared_prefix_tokens(routing);
    let weighed = fleet.engine(id).filter(|e| e.kv.is_some());
    if weighed.is_none() || tokens >= MIN_FETCH_TOKENS {
        cache.record_location(prefix, id, progress, now);
    } else {
        cache.locations.record(&PrefixNote { prefix, engine: id.clone(), progress }, now);
    }
    if let Some(engine) = weighed.filter(|_| tokens >= MIN_FETCH_TOKENS) {
        engine.record_prefix(prefix, progress, Some(tokens), now);
    }
}

/// Records the transfer of a fetched prefix on the links of both engines.
pub(super) fn record_fetch(
    engines: &mut [EngineView],
    routing: &RoutingRequest,
    pick: &Pick,
    now: Time,
) {
    let to = pick.prefill.unwrap_or(pick.decode);
    let Some((from, kv)) = pick.fetch.zip(engines[to].kv) else { return };
    let between_zones = engines[from].zone != engines[to].zone;
    let time = kv.transfer_s(shared_prefix_tokens(routing), between_zones);
    for index in [from, to] {
        engines[index].held_prefixes.record_transfer(Duration::from_secs_f64(time), now);
    }
}

impl Task {
    /// Records that an engine holds the KV cache of the request's shared prefix.
    pub(super) fn record_prefix_ready(&self, target: &Target) {
        if self.request.proxied.is_none() {
            return;
        }
        let (app, routing) = (&self.app, &self.request.routing);
        let (mut fleet, mut cache) = (app.fleet(), app.cache_index());
        let ready = PrefixProgress::Ready;
        record_prefix(&mut fleet, &mut cache, routing, &target.id, ready, app.now());
    }
}
