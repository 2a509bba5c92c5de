use {
    lentil_core::{
        clock::Time,
        error::Fault,
        fleet::{CacheIndex, EngineView},
        ids::Tokens,
        manifest::Role,
        route::{choose, Pick, RoutingOrigin, RoutingRequest},
    },
    rand::{rngs::SmallRng, Rng},
    std::{fmt, time::Duration},
};

/// Routing strategy: how the engines of a request are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Routing {
    /// Scores the engines with [`choose`], as the daemon does.
    Scored,
    /// Picks any open engine of the role at random.
    Random,
    /// Picks the open engine of the role with the least reported load.
    LeastLoaded,
    /// Picks the open engine of the role by a hash of the shared prompt prefix.
    Affinity,
}

impl Routing {
    /// All strategies, in the order in which they are compared.
    pub const ALL: [Self; 4] = [Self::Scored, Self::Random, Self::LeastLoaded, Self::Affinity];

    /// Chooses the prefill and decode engines of a request.
    ///
    /// # Errors
    /// If [`choose`] finds no engine that takes requests.
    pub fn pick(
        self,
        engines: &[EngineView],
        cache: &CacheIndex,
        work: &RoutingRequest,
        origin: &RoutingOrigin,
        rng: &mut SmallRng,
        now: Time,
    ) -> Result<Pick, Fault> {
        let mut pick = choose(engines, cache, work, origin, now)?;
        if self == Self::Scored {
            return Ok(pick);
        }
        let open = |role: Role| -> Vec<usize> {
            let fits = |i: &usize| engines[*i].role == role && engines[*i].accepts_work(now);
            (0..engines.len()).filter(fits).collect()
        };
        let load = |i: &usize| {
            let load = engines[*i].load.expected(0.0, 1, engines[*i].load.reported_at());
            (load.queued, load.running + load.waiting)
        };
        let mut select = |list: Vec<usize>| match self {
            Self::Random => list.get(rng.gen_range(0..list.len().max(1))).copied(),
            Self::LeastLoaded => list.iter().min_by_key(|i| load(i)).copied(),
            _ => {
                let hash = work.blocks.last().map_or(0, |b| b.0) as usize;
                list.get(hash % list.len().max(1)).copied()
            }
        };
        pick.decode = select(open(Role::Decode)).unwrap_or(pick.decode);
        pick.prefill = select(open(Role::Prefill));
        pick.hit = Tokens(0);
        // Zero delays, so that admission lets every request pass: only routing is compared here.
        pick.first_token = Duration::ZERO;
        pick.queue_wait = Duration::ZERO;
        pick.end = Duration::ZERO;
        Ok(pick)
    }
}

impl fmt::Display for Routing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Scored => "ours",
            Self::Random => "random",
            Self::LeastLoaded => "least loaded",
            Self::Affinity => "pure affinity",
        })
    }
}
