use {
    lentil_core::{
        fleet::{BlockHashes, BLOCK_TOKENS},
        ids::{Fingerprint, PrefixHash},
        plan::Demand,
    },
    rand::{rngs::SmallRng, Rng, SeedableRng},
    std::{f64::consts::PI, fmt},
};

/// How the mix of prefill and decode work changes over a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// The share of long prompts rises for 200 s, then falls back.
    Burst,
    /// The mix changes from mostly long prompts to mostly long outputs for 200 s, then back, as
    /// when a ship arrives.
    ShipArrival,
    /// A prefill share of 39% that swings by half of itself over the trace.
    Drift,
    /// A constant prefill share of 39%, with noise only.
    Noise,
}

impl Shape {
    /// All shapes, in the order in which they are compared.
    pub const ALL: [Self; 4] = [Self::Burst, Self::ShipArrival, Self::Drift, Self::Noise];

    /// Fraction of the engines' work that is prefill, `at` seconds after the start.
    pub fn prefill_share(self, at: f64) -> f64 {
        match self {
            Self::Burst if (150.0..350.0).contains(&at) => 0.80,
            Self::Burst => 0.20,
            Self::ShipArrival if (150.0..350.0).contains(&at) => 0.10,
            Self::ShipArrival => 0.65,
            Self::Drift => 0.39 * (1.0 + 0.5 * (2.0 * PI * at / TRACE_S).sin()),
            Self::Noise => 0.39,
        }
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Burst => "fireball burst",
            Self::ShipArrival => "ship arrival",
            Self::Drift => "half-day drift",
            Self::Noise => "noise only",
        })
    }
}

/// Duration of a trace, in seconds.
pub const TRACE_S: f64 = 600.0;
/// Time for which the random factors of the arrival rates stay constant, in seconds.
const NOISE_PERIOD_S: f64 = 8.0;
/// Largest relative change of a class's arrival rate by noise.
const NOISE_AMPLITUDE: f64 = 0.25;
/// Largest number of prefix blocks that prompts with the same beginning share.
const SHARED_BLOCKS: u64 = 12;

/// Sizes and objectives of one class of requests.
#[derive(Debug, Clone, Copy)]
pub struct ClassProfile {
    /// Mean length of the prompt, in tokens.
    pub prompt: f64,
    /// Mean fraction of the prompt that is found in a prefix cache.
    pub cache_hit: f64,
    /// Mean length of the output, in tokens.
    pub output: f64,
    /// Time after arrival by which the request must finish, in seconds.
    pub deadline: f64,
    /// Priority; higher values are served first.
    pub priority: u8,
}

/// Class of long prompts with short outputs.
pub const REPORT: ClassProfile =
    ClassProfile { prompt: 3_000.0, cache_hit: 0.17, output: 20.0, deadline: 30.0, priority: 2 };
/// Class of short prompts with long outputs.
pub const BRIEFING: ClassProfile =
    ClassProfile { prompt: 400.0, cache_hit: 0.6, output: 320.0, deadline: 60.0, priority: 1 };
/// All classes; [`Arrival::class`] is an index into them.
pub const CLASSES: [ClassProfile; 2] = [REPORT, BRIEFING];

/// One request of a trace.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Arrival time, in seconds since the start.
    pub at: f64,
    /// Index of the class.
    pub class: usize,
    /// Index of the workspace.
    pub workspace: usize,
    /// Length of the prompt, in tokens.
    pub prompt: u64,
    /// Length of the output, in tokens.
    pub output: u64,
    /// Prefix blocks that the prompt may share with others.
    pub blocks: BlockHashes,
}

/// A generated trace of requests, with the demand that it was generated from.
#[derive(Debug, Clone)]
pub struct Trace {
    /// How the mix changes over the trace.
    pub shape: Shape,
    /// The requests, in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// Arriving work as a fraction of the capacity of all engines.
    pub load: f64,
    engines: f64,
    prefill_rate: f64,
    decode_rate: f64,
}

impl Trace {
    /// Generates a trace whose work is the fraction `load` of the capacity of `engines` engines.
    /// The rates are in tokens per second of one engine.
    pub fn new(
        shape: Shape,
        engines: usize,
        prefill_rate: f64,
        decode_rate: f64,
        load: f64,
        seed: u64,
    ) -> Self {
        let mut trace = Self {
            shape,
            arrivals: Vec::new(),
            load,
            engines: engines as f64,
            prefill_rate,
            decode_rate,
        };
        trace.generate(&mut SmallRng::seed_from_u64(seed));
        trace
    }

    /// Arrival rate of each class without noise, in requests per second.
    fn arrival_rates(&self, at: f64) -> [f64; 2] {
        let cost = |c: &ClassProfile| [c.prompt / self.prefill_rate, c.output / self.decode_rate];
        let ([a, b], [c, d]) = (cost(&REPORT), cost(&BRIEFING));
        let work = self.load * self.engines;
        let share = self.shape.prefill_share(at);
        let (p, q) = (work * share, work * (1.0 - share));
        // Solves a x + c y = p and b x + d y = q for the rates x and y, which may not be negative.
        let det = a * d - b * c;
        let x = ((p * d - q * c) / det).max(0.0);
        let y = ((q * a - p * b) / det).max(0.0);
        [x, y]
    }

    /// The demand `at` seconds after the start, without noise.
    pub fn demand(&self, at: f64) -> Demand {
        let [x, y] = self.arrival_rates(at);
        Demand {
            prefill: x * REPORT.prompt * (1.0 - REPORT.cache_hit),
            mixed: y * BRIEFING.prompt * (1.0 - BRIEFING.cache_hit),
            decode: x * REPORT.output + y * BRIEFING.output,
            long: x,
            short: y,
            ttft_budget: x * super::FIRST_TOKEN_S,
        }
    }

    fn generate(&mut self, rng: &mut SmallRng) {
        let factors: Vec<[f64; 2]> = (0..=(TRACE_S / NOISE_PERIOD_S) as usize)
            .map(|_| [0, 1].map(|_| 1.0 + rng.gen_range(-NOISE_AMPLITUDE..NOISE_AMPLITUDE)))
            .collect();
        for class in [0, 1] {
            let mut at = 0.0;
            loop {
                let factor =
                    factors[((at / NOISE_PERIOD_S) as usize).min(factors.len() - 1)][class];
                let rate = (self.arrival_rates(at)[class] * factor).max(0.05);
                at -= (1.0 - rng.gen::<f64>()).ln() / rate;
                if at >= TRACE_S {
                    break;
                }
                self.arrivals.push(arrival(at, class, rng));
            }
        }
        self.arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
    }
}

fn arrival(at: f64, class: usize, rng: &mut SmallRng) -> Arrival {
    let spread = |mean: f64, rng: &mut SmallRng| (mean * rng.gen_range(0.5..1.5)) as u64;
    let (prompt, output) = (spread(CLASSES[class].prompt, rng), spread(CLASSES[class].output, rng));
    // Squaring favours the low indices, so that some prefixes are more popular than others.
    let prefix = (rng.gen::<f64>().powi(2) * 40.0) as u64;
    let shared = SHARED_BLOCKS.min(prompt / BLOCK_TOKENS.0);
    let block = |i: u64| {
        let parts = [class as u64, prefix, i].map(u64::to_le_bytes);
        PrefixHash(Fingerprint::of(&[&parts[0], &parts[1], &parts[2]]).0)
    };
    Arrival {
        at,
        class,
        workspace: rng.gen_range(0..4),
        prompt,
        output: output.max(2),
        blocks: (0..shared).map(block).collect(),
    }
}
