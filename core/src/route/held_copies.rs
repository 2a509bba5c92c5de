use {
    super::{shared_prefix, shared_prefix_tokens, RoutingRequest, MIN_FETCH_TOKENS},
    crate::{
        clock::Time,
        fleet::{EngineView, KvCache, PrefixProgress},
        ids::{Tokens, Zone},
        manifest::Role,
    },
    smallvec::SmallVec,
};

/// Cost of a fetch beside its duration: it takes a call to another engine, and may fail.
const FETCH_COST_S: f64 = 0.005;
/// Probability of a held prefix from which it counts as certain.
const CERTAIN_PROBABILITY: f64 = 0.99;

/// Engine that has a shared prefix in memory, or prefills it.
#[derive(Debug, Clone)]
struct Holder {
    index: usize,
    zone: Zone,
    kv: KvCache,
    progress: PrefixProgress,
    /// Tokens placed in its memory since the last use of the prefix.
    newer: Tokens,
    /// Tokens placed in its memory per second.
    place_rate: f64,
    link_wait: f64,
    pace: f64,
}

impl Holder {
    /// Returns the probability that the prefix is there in `wait` seconds.
    fn probability(&self, wait: f64) -> f64 {
        let placed = Tokens((self.place_rate * wait) as u64);
        self.kv.held_probability(self.newer + placed)
    }
}

/// What an engine saves of the prefill of a request's shared prefix, and at what cost.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefixReuse {
    /// Prompt tokens that need no prefill, weighted by the probability that they are there.
    pub hit: Tokens,
    /// Index of the engine to fetch them from, if it is another one.
    pub fetch: Option<usize>,
    /// Seconds until they are fetched.
    pub transfer_s: f64,
    /// Cost to other requests, in seconds: the prefixes evicted, and the time that the engine's
    /// later requests wait for this one.
    pub others_s: f64,
    /// Whether the tokens may have been evicted.
    pub uncertain: bool,
}

/// Engines that hold the shared prefix of a request, for a service whose configuration says how
/// large the engines' memories are and how fast their links.
#[derive(Debug, Clone)]
pub struct HeldCopies {
    holders: SmallVec<[Holder; 4]>,
    tokens: Tokens,
    /// Prompts with shared prefixes that each prefilling engine gets per second, on average.
    use_rate: f64,
}

impl HeldCopies {
    /// Finds the engines that hold the shared prefix of `request`; `None` if the prefix is short or
    /// no engine of the service has a known memory.
    pub fn find(engines: &[EngineView], request: &RoutingRequest, now: Time) -> Option<Self> {
        let prefix = shared_prefix(request)?;
        let tokens = shared_prefix_tokens(request);
        if tokens < MIN_FETCH_TOKENS {
            return None;
        }
        let of_service = |e: &&EngineView| e.model == request.model;
        engines.iter().find(of_service)?.kv?;
        let mut holders = SmallVec::new();
        let (mut uses, mut prefilling) = (0.0, 0_u32);
        for (index, engine) in engines.iter().enumerate() {
            let Some(kv) = engine.kv else { continue };
            if engine.model != request.model {
                continue;
            }
            if engine.role == Role::Prefill {
                uses += engine.held_prefixes.use_rate(now);
                prefilling += 1;
            }
            let Some((progress, newer)) = engine.held_prefixes.find(prefix, tokens, now) else {
                continue;
            };
            if !engine.serves_copies(now) {
                continue;
            }
            let held = &engine.held_prefixes;
            holders.push(Holder {
                index,
                zone: engine.zone.clone(),
                kv,
                progress,
                newer,
                place_rate: held.use_rate(now) * request.prompt.0 as f64,
                pace: engine.pace.at(now),
                link_wait: held.link_wait(now).as_secs_f64(),
            });
        }
        Some(Self { holders, tokens, use_rate: uses / f64::from(prefilling.max(1)) })
    }

    /// Returns the cheapest use of the prefix by the engine at `index`, which begins the prefill in
    /// `wait` seconds.
    pub fn reuse_at(
        &self,
        engine: &EngineView,
        index: usize,
        request: &RoutingRequest,
        wait: f64,
        now: Time,
    ) -> PrefixReuse {
        let Some(kv) = engine.kv else { return PrefixReuse::default() };
        let rate = engine.prefill_rate();
        let read = self.tokens.0 as f64 / rate;
        let here = self.holders.iter().find(|h| h.index == index);
        let here = here.map_or(0.0, |h| h.probability(wait));
        let held = &engine.held_prefixes;
        let full = held.total(self.tokens) + request.prompt > kv.memory;
        // A copy in a full memory evicts another prefix, which is prefilled again at its next use.
        let copy_s = if full { read } else { 0.0 };
        let local = (1.0 - here) * (read + copy_s);
        let mut best = (local, here, None, 0.0);
        for source in self.holders.iter().filter(|h| h.index != index) {
            if source.progress != PrefixProgress::Ready {
                continue;
            }
            let link = source.link_wait.max(held.link_wait(now).as_secs_f64() - wait).max(0.0);
            let transfer =
                link + kv.transfer_s(self.tokens, source.zone != engine.zone) * source.pace;
            let there = source.probability(wait);
            let cost = transfer + FETCH_COST_S + (1.0 - there) * read + copy_s;
            if cost < best.0 {
                best = (cost, there, Some(source.index), transfer);
            }
        }
        let (cost, probability, fetch, transfer_s) = best;
        let hit = Tokens((self.tokens.0 as f64 * probability) as u64);
        let work = (request.prompt - hit).0 as f64 / rate + transfer_s;
        // Prompts that arrive before this one is prefilled wait for it.
        let behind = work * self.use_rate * (wait + work);
        let reread = (1.0 - probability) * read;
        PrefixReuse {
            hit,
            fetch,
            transfer_s,
            others_s: (cost - reread - transfer_s).max(0.0) + behind,
            uncertain: probability > 0.0 && probability < CERTAIN_PROBABILITY,
        }
    }
}
