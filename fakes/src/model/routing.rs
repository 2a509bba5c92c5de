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

/// How engines are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Routing {
    /// As the daemon does.
    Ours,
    /// Any open engine of the role.
    Random,
    /// The engine of the role with the least reported load.
    LeastLoaded,
    /// The engine of the role that the prompt's beginning hashes to.
    Affinity,
}

impl Routing {
    /// All ways.
    pub const ALL: [Self; 4] = [Self::Ours, Self::Random, Self::LeastLoaded, Self::Affinity];

    /// Chooses engines for work.
    ///
    /// # Errors
    /// If none is open.
    pub fn pick(
        self,
        engines: &[EngineView],
        cache: &CacheIndex,
        work: &RoutingRequest,
        place: &RoutingOrigin,
        rng: &mut SmallRng,
        now: Time,
    ) -> Result<Pick, Fault> {
        let mut pick = choose(engines, cache, work, place, now)?;
        if self == Self::Ours {
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
        let mut one = |list: Vec<usize>| match self {
            Self::Random => list.get(rng.gen_range(0..list.len().max(1))).copied(),
            Self::LeastLoaded => list.iter().min_by_key(|i| load(i)).copied(),
            _ => {
                let hash = work.blocks.last().map_or(0, |b| b.0) as usize;
                list.get(hash % list.len().max(1)).copied()
            }
        };
        pick.decode = one(open(Role::Decode)).unwrap_or(pick.decode);
        pick.prefill = one(open(Role::Prefill));
        pick.hit = Tokens(0);
        // Admission is not what is compared.
        pick.first = Duration::ZERO;
        pick.wait = Duration::ZERO;
        pick.end = Duration::ZERO;
        Ok(pick)
    }
}

impl fmt::Display for Routing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ours => "ours",
            Self::Random => "random",
            Self::LeastLoaded => "least loaded",
            Self::Affinity => "pure affinity",
        })
    }
}
