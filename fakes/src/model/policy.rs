use {
    super::{ModelEngine, Trace, LENGTH},
    lentil_core::{
        clock::Time,
        fleet::Load,
        manifest::{ChangeWeight, EngineRates, Role},
        plan::{loss, ChangeCost, Demand, Planner, PlannerInput, Split},
    },
    std::fmt,
};

/// How roles follow the mix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// They don't.
    Static,
    /// By thresholds on the reported load.
    Threshold,
    /// As the daemon does.
    Ours,
    /// By a schedule made from the demand to come.
    LookAhead,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] = [Self::Static, Self::Threshold, Self::Ours, Self::LookAhead];
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Static => "static",
            Self::Threshold => "threshold",
            Self::Ours => "ours",
            Self::LookAhead => "look-ahead",
        })
    }
}

/// Seconds that a change takes in the model, from its order on.
pub const AWAY: f64 = 4.0;

/// What a follower sees when it decides.
pub struct Sight<'a> {
    /// Demand as measured where it arrives.
    pub demand: Demand,
    /// The engines' roles, those to come included.
    pub split: Split,
    /// Engines that are emptied or away.
    pub away: usize,
    /// Reported loads of the engines, by index.
    pub loads: &'a [Load],
    /// The engines.
    pub engines: &'a [ModelEngine],
}

/// Decides on role changes once a second.
pub enum Follower {
    /// Never.
    Static,
    /// By thresholds on the reported load.
    Threshold {
        /// Rates of an engine.
        rates: EngineRates,
    },
    /// The daemon's planner.
    Ours(Box<Planner>, EngineRates),
    /// Prefilling engines wanted in each second.
    LookAhead(Vec<usize>),
}

impl Follower {
    /// A follower of one policy.
    pub fn new(
        policy: Policy,
        weight: f64,
        rates: EngineRates,
        split: Split,
        trace: &Trace,
    ) -> Self {
        match policy {
            Policy::Static => Self::Static,
            Policy::Threshold => Self::Threshold { rates },
            Policy::Ours => {
                let planner = Planner::new(ChangeWeight(weight), ChangeCost::default(), Time::ZERO);
                Self::Ours(Box::new(planner), rates)
            }
            Policy::LookAhead => Self::LookAhead(schedule(weight, &rates, split, trace)),
        }
    }

    /// The role that one engine should take now, if any.
    pub fn decide(&mut self, sight: &Sight, now: f64) -> Option<Role> {
        match self {
            Self::Static => None,
            Self::Threshold { rates } => threshold(rates, sight),
            Self::Ours(planner, rates) => {
                let situation = PlannerInput {
                    demand: sight.demand,
                    rates,
                    split: sight.split,
                    unavailable: sight.away,
                };
                planner.decide(&situation, Time::from_secs_f64(now))
            }
            Self::LookAhead(plan) => {
                let want = plan[(now as usize).min(plan.len() - 1)];
                match want.cmp(&sight.split.prefill) {
                    std::cmp::Ordering::Greater => Some(Role::Prefill),
                    std::cmp::Ordering::Less => Some(Role::Decode),
                    std::cmp::Ordering::Equal => None,
                }
            }
        }
    }
}

/// Seconds of queued prefill above which the threshold follower wants another prefilling engine.
const LONG: f64 = 0.25;
/// Part of the slots in use above which it wants another decoding engine.
const FULL: f64 = 0.8;

/// The customary follower: where the reported queues are long, an engine is added.
fn threshold(rates: &EngineRates, sight: &Sight) -> Option<Role> {
    if sight.away > 1 {
        return None;
    }
    let mean = |role: Role, of: &dyn Fn(&Load) -> f64| {
        let found: Vec<f64> = sight
            .engines
            .iter()
            .zip(sight.loads)
            .filter(|(e, _)| e.role == role)
            .map(|(_, l)| of(l))
            .collect();
        found.iter().sum::<f64>() / found.len().max(1) as f64
    };
    let queue = |l: &Load| l.queued.0 as f64 / rates.prefill.0;
    let slots = |l: &Load| f64::from(l.running + l.waiting) / f64::from(rates.slots);
    let (wait, used) = (mean(Role::Prefill, &queue), mean(Role::Decode, &slots));
    match () {
        () if wait > LONG && used < FULL && sight.split.decode > 1 => Some(Role::Prefill),
        () if used > FULL && wait < LONG && sight.split.prefill > 1 => Some(Role::Decode),
        () => None,
    }
}

/// Prefilling engines for each second that lose the least, changes included, when the demand to
/// come is known.
fn schedule(weight: f64, rates: &EngineRates, start: Split, trace: &Trace) -> Vec<usize> {
    let total = start.total();
    let seconds = LENGTH as usize;
    let cost = AWAY + weight;
    // best[n]: least loss from a second on with n prefilling engines.
    let mut best = vec![0.0; total];
    let mut choice = vec![vec![0; total]; seconds];
    for second in (0..seconds).rev() {
        // A change begun now is done when the demand is that of some seconds later.
        let demand = trace.demand(second as f64 + AWAY);
        let mut next = vec![f64::INFINITY; total];
        for from in 0..total {
            let near = |to: &(usize, &f64)| to.0.abs_diff(from) <= 1;
            for (to, after) in best.iter().enumerate().filter(near) {
                let split = Split { prefill: to, decode: total - to };
                let change = if from == to { 0.0 } else { cost };
                let value = loss(demand, rates, split) + change + after;
                if value < next[from] - 1e-9 || (value < next[from] + 1e-9 && to == from) {
                    next[from] = value;
                    choice[second][from] = to;
                }
            }
        }
        best = next;
    }
    let mut now = start.prefill;
    let mut plan = Vec::with_capacity(seconds);
    for options in &choice {
        now = options[now];
        plan.push(now);
    }
    plan
}
