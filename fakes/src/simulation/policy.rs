use {
    super::{SimulatedEngine, Trace, TRACE_S},
    lentil_core::{
        clock::Time,
        fleet::Load,
        manifest::{ChangeWeight, EngineRates, Role},
        plan::{loss, ChangeCost, Demand, Planner, PlannerInput, Split},
    },
    std::fmt,
};

/// A way to adapt the engines' roles to the mix of prefill and decode work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Roles never change.
    Static,
    /// Changes a role when the reported load crosses a threshold.
    Threshold,
    /// Runs the planner of the daemon.
    Planner,
    /// Follows the schedule of least loss, computed from the future demand. Serves as a bound.
    LookAhead,
}

impl Policy {
    /// All policies, in the order in which they are compared.
    pub const ALL: [Self; 4] = [Self::Static, Self::Threshold, Self::Planner, Self::LookAhead];
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Static => "static",
            Self::Threshold => "threshold",
            Self::Planner => "ours",
            Self::LookAhead => "look-ahead",
        })
    }
}

/// Seconds from the order for a role change until the engine serves in its new role.
pub const ROLE_CHANGE_S: f64 = 4.0;

/// Input of a role decision.
pub struct Observation<'a> {
    /// Demand measured by the entry instances.
    pub demand: Demand,
    /// Number of engines by role, where a changing engine counts for its new role.
    pub split: Split,
    /// Number of engines that are draining, changing or restarting.
    pub unavailable: usize,
    /// Last reported loads, by index of the engine.
    pub loads: &'a [Load],
    /// The engines, for their roles.
    pub engines: &'a [SimulatedEngine],
}

/// Carries out a [`Policy`]: decides on role changes once a second.
pub enum RoleController {
    /// Never changes a role.
    Static,
    /// Compares the reported load with thresholds.
    Threshold {
        /// Rates of each engine.
        rates: EngineRates,
    },
    /// The planner of the daemon, with the rates of each engine.
    Planner(Box<Planner>, EngineRates),
    /// Number of prefill engines in each second.
    LookAhead(Vec<usize>),
}

impl RoleController {
    /// Creates the controller of a policy. `change_weight` is the weight of a role change, and
    /// `split` the roles at the start.
    pub fn new(
        policy: Policy,
        change_weight: f64,
        rates: EngineRates,
        split: Split,
        trace: &Trace,
    ) -> Self {
        match policy {
            Policy::Static => Self::Static,
            Policy::Threshold => Self::Threshold { rates },
            Policy::Planner => {
                let planner =
                    Planner::new(ChangeWeight(change_weight), ChangeCost::default(), Time::ZERO);
                Self::Planner(Box::new(planner), rates)
            }
            Policy::LookAhead => Self::LookAhead(schedule(change_weight, &rates, split, trace)),
        }
    }

    /// Returns the role that one more engine should take now, or `None` for no change.
    pub fn decide(&mut self, observed: &Observation, now: f64) -> Option<Role> {
        match self {
            Self::Static => None,
            Self::Threshold { rates } => decide_by_thresholds(rates, observed),
            Self::Planner(planner, rates) => {
                let input = PlannerInput {
                    demand: observed.demand,
                    rates,
                    split: observed.split,
                    unavailable: observed.unavailable,
                };
                planner.decide(&input, Time::from_secs_f64(now))
            }
            Self::LookAhead(schedule) => {
                let wanted = schedule[(now as usize).min(schedule.len() - 1)];
                match wanted.cmp(&observed.split.prefill) {
                    std::cmp::Ordering::Greater => Some(Role::Prefill),
                    std::cmp::Ordering::Less => Some(Role::Decode),
                    std::cmp::Ordering::Equal => None,
                }
            }
        }
    }
}

/// Seconds of queued prefill above which the threshold policy adds a prefill engine.
const LONG_QUEUE_S: f64 = 0.25;
/// Fraction of decode slots in use above which the threshold policy adds a decode engine.
const HIGH_SLOT_USE: f64 = 0.8;

/// Adds an engine to the role whose mean reported load is above its threshold while that of the other
/// role is below, which is the usual baseline. Does nothing while two or more engines are unavailable.
fn decide_by_thresholds(rates: &EngineRates, observed: &Observation) -> Option<Role> {
    if observed.unavailable > 1 {
        return None;
    }
    let mean = |role: Role, of: &dyn Fn(&Load) -> f64| {
        let values: Vec<f64> = observed
            .engines
            .iter()
            .zip(observed.loads)
            .filter(|(e, _)| e.role == role)
            .map(|(_, l)| of(l))
            .collect();
        values.iter().sum::<f64>() / values.len().max(1) as f64
    };
    let queued_seconds = |l: &Load| l.queued.0 as f64 / rates.prefill.0;
    let slots_used = |l: &Load| f64::from(l.running + l.waiting) / f64::from(rates.slots);
    let (queue_s, slot_use) =
        (mean(Role::Prefill, &queued_seconds), mean(Role::Decode, &slots_used));
    match () {
        () if queue_s > LONG_QUEUE_S && slot_use < HIGH_SLOT_USE && observed.split.decode > 1 => {
            Some(Role::Prefill)
        }
        () if slot_use > HIGH_SLOT_USE && queue_s < LONG_QUEUE_S && observed.split.prefill > 1 => {
            Some(Role::Decode)
        }
        () => None,
    }
}

/// Computes the number of prefill engines in each second that minimizes the loss, including the
/// cost of role changes, by dynamic programming over the known demand.
fn schedule(change_weight: f64, rates: &EngineRates, start: Split, trace: &Trace) -> Vec<usize> {
    let total = start.total();
    let seconds = TRACE_S as usize;
    let change_cost = ROLE_CHANGE_S + change_weight;
    // best[n] is the least loss from this second to the end, starting with n prefill engines.
    let mut best = vec![0.0; total];
    let mut choice = vec![vec![0; total]; seconds];
    for second in (0..seconds).rev() {
        // A change that starts now takes effect after `ROLE_CHANGE_S`, so that demand counts.
        let demand = trace.demand(second as f64 + ROLE_CHANGE_S);
        let mut next = vec![f64::INFINITY; total];
        for from in 0..total {
            let one_step = |to: &(usize, &f64)| to.0.abs_diff(from) <= 1;
            for (to, after) in best.iter().enumerate().filter(one_step) {
                let split = Split { prefill: to, decode: total - to };
                let change_loss = if from == to { 0.0 } else { change_cost };
                let value = loss(demand, rates, split) + change_loss + after;
                if value < next[from] - 1e-9 || (value < next[from] + 1e-9 && to == from) {
                    next[from] = value;
                    choice[second][from] = to;
                }
            }
        }
        best = next;
    }
    let mut prefill = start.prefill;
    let mut schedule = Vec::with_capacity(seconds);
    for options in &choice {
        prefill = options[prefill];
        schedule.push(prefill);
    }
    schedule
}
