use {
    lentil_core::{
        fleet::{BlockHashes, BLOCK_TOKENS},
        ids::{Fingerprint, PrefixHash},
        plan::Demand,
    },
    rand::{rngs::SmallRng, Rng, SeedableRng},
    std::{f64::consts::PI, fmt},
};

/// What a trace of the mix is like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// A burst of long prompts, then back.
    Burst,
    /// A ship arrives: long outputs after long prompts, then back.
    Ship,
    /// 39% prefill that moves by half, up and down.
    Drift,
    /// 39% prefill with noise only.
    Noise,
}

impl Shape {
    /// All shapes.
    pub const ALL: [Self; 4] = [Self::Burst, Self::Ship, Self::Drift, Self::Noise];

    /// Part of the engines' work that is prefill, `at` seconds after the start.
    pub fn share(self, at: f64) -> f64 {
        match self {
            Self::Burst if (150.0..350.0).contains(&at) => 0.80,
            Self::Burst => 0.20,
            Self::Ship if (150.0..350.0).contains(&at) => 0.10,
            Self::Ship => 0.65,
            Self::Drift => 0.39 * (1.0 + 0.5 * (2.0 * PI * at / LENGTH).sin()),
            Self::Noise => 0.39,
        }
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Burst => "fireball burst",
            Self::Ship => "ship arrival",
            Self::Drift => "half-day drift",
            Self::Noise => "noise only",
        })
    }
}

/// Length of a trace, in seconds.
pub const LENGTH: f64 = 600.0;
/// Seconds for which the noise of the mix goes one way.
const GUST: f64 = 8.0;
/// Greatest part by which the noise moves the rate of a class.
const GUST_PART: f64 = 0.25;
/// Prompts that begin alike share so many blocks.
const SHARED: u64 = 12;

/// What one class of requests asks for.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    /// Tokens of the prompt, on average.
    pub prompt: f64,
    /// Part of the prompt that is found in a cache, on average.
    pub hit: f64,
    /// Tokens of output, on average.
    pub output: f64,
    /// Latest end, in seconds after arrival.
    pub deadline: f64,
    /// Priority.
    pub priority: u8,
}

/// Long prompts with short outputs.
pub const REPORT: Kind =
    Kind { prompt: 3_000.0, hit: 0.17, output: 20.0, deadline: 30.0, priority: 2 };
/// Short prompts with long outputs.
pub const BRIEFING: Kind =
    Kind { prompt: 400.0, hit: 0.6, output: 320.0, deadline: 60.0, priority: 1 };
/// The classes, by index.
pub const KINDS: [Kind; 2] = [REPORT, BRIEFING];

/// A request of a trace.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Seconds after the start.
    pub at: f64,
    /// Index of its class.
    pub kind: usize,
    /// Index of its workspace.
    pub workspace: usize,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Tokens of its output.
    pub output: u64,
    /// Blocks that its prompt shares with others.
    pub blocks: BlockHashes,
}

/// A trace of requests with the demand that it was made from.
#[derive(Debug, Clone)]
pub struct Trace {
    /// Its shape.
    pub shape: Shape,
    /// The requests, in order.
    pub arrivals: Vec<Arrival>,
    /// Work that arrives as a part of what all engines can do.
    pub load: f64,
    engines: f64,
    prefill: f64,
    decode: f64,
}

impl Trace {
    /// A trace for `engines` engines with given rates, loaded to a part `load`.
    pub fn new(
        shape: Shape,
        engines: usize,
        prefill: f64,
        decode: f64,
        load: f64,
        seed: u64,
    ) -> Self {
        let mut trace =
            Self { shape, arrivals: Vec::new(), load, engines: engines as f64, prefill, decode };
        trace.fill(&mut SmallRng::seed_from_u64(seed));
        trace
    }

    /// Requests per second of each class.
    fn rates(&self, at: f64) -> [f64; 2] {
        let cost = |k: &Kind| [k.prompt / self.prefill, k.output / self.decode];
        let ([a, b], [c, d]) = (cost(&REPORT), cost(&BRIEFING));
        let work = self.load * self.engines;
        let share = self.shape.share(at);
        let (p, q) = (work * share, work * (1.0 - share));
        // a x + c y = p and b x + d y = q, where neither may be negative.
        let det = a * d - b * c;
        let x = ((p * d - q * c) / det).max(0.0);
        let y = ((q * a - p * b) / det).max(0.0);
        [x, y]
    }

    /// The demand that the trace is made from, without its noise.
    pub fn demand(&self, at: f64) -> Demand {
        let [x, y] = self.rates(at);
        Demand {
            prefill: x * REPORT.prompt * (1.0 - REPORT.hit),
            mixed: y * BRIEFING.prompt * (1.0 - BRIEFING.hit),
            decode: x * REPORT.output + y * BRIEFING.output,
            long: x,
            short: y,
            ttft_budget: x * super::FIRST,
        }
    }

    fn fill(&mut self, rng: &mut SmallRng) {
        let gusts: Vec<[f64; 2]> = (0..=(LENGTH / GUST) as usize)
            .map(|_| [0, 1].map(|_| 1.0 + rng.gen_range(-GUST_PART..GUST_PART)))
            .collect();
        for kind in [0, 1] {
            let mut at = 0.0;
            loop {
                let gust = gusts[((at / GUST) as usize).min(gusts.len() - 1)][kind];
                let rate = (self.rates(at)[kind] * gust).max(0.05);
                at -= (1.0 - rng.gen::<f64>()).ln() / rate;
                if at >= LENGTH {
                    break;
                }
                self.arrivals.push(arrival(at, kind, rng));
            }
        }
        self.arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
    }
}

fn arrival(at: f64, kind: usize, rng: &mut SmallRng) -> Arrival {
    let spread = |mean: f64, rng: &mut SmallRng| (mean * rng.gen_range(0.5..1.5)) as u64;
    let (prompt, output) = (spread(KINDS[kind].prompt, rng), spread(KINDS[kind].output, rng));
    // Popular beginnings come up more often than others.
    let popular = (rng.gen::<f64>().powi(2) * 40.0) as u64;
    let shared = SHARED.min(prompt / BLOCK_TOKENS.0);
    let block = |i: u64| {
        let parts = [kind as u64, popular, i].map(u64::to_le_bytes);
        PrefixHash(Fingerprint::of(&[&parts[0], &parts[1], &parts[2]]).0)
    };
    Arrival {
        at,
        kind,
        workspace: rng.gen_range(0..4),
        prompt,
        output: output.max(2),
        blocks: (0..shared).map(block).collect(),
    }
}
