use {
    super::{best_split, loss, Demand, Split},
    crate::{
        clock::Time,
        manifest::{ChangeWeight, EngineRates, Role},
    },
    std::{cmp::Ordering, time::Duration},
};

/// Longest time for which a present loss is expected to continue.
const LOSS_HORIZON_S: f64 = 60.0;
/// Time constant of the slow average of the demand.
const SLOW_MEAN_SPAN_S: f64 = 20.0;
/// Share of the engines that may be out of service for a role change at the same time.
const MAX_UNAVAILABLE_SHARE: f64 = 0.2;
/// Least reduction of the loss by one role change, as a share of all requests.
const MIN_GAIN_SHARE: f64 = 0.04;
/// Reduction of the loss, as a share of all requests, that is too large for a short burst to cause:
/// from it on, a change needs no confirmation by the slow average.
const LARGE_LOSS_SHARE: f64 = 0.17;
/// Time constant with which the regret decays once its cause has ended.
const REGRET_DECAY_S: f64 = 20.0;

/// Time for which a role change takes an engine out of service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChangeCost {
    /// Time from the order to the end of the drain, during which the engine gets no new work.
    pub drain: Duration,
    /// Time for which the engine is unavailable while it changes its role.
    pub unavailable: Duration,
}

impl Default for ChangeCost {
    fn default() -> Self {
        Self { drain: Duration::from_secs(4), unavailable: Duration::from_secs(4) }
    }
}

/// State of a model's engines on which the planner decides.
#[derive(Debug, Clone, Copy)]
pub struct PlannerInput<'a> {
    /// Demand measured over the last seconds.
    pub demand: Demand,
    /// Capacity of each engine.
    pub rates: &'a EngineRates,
    /// Engines in service, by the role that they have or are changing to.
    pub split: Split,
    /// Engines that are unavailable because of a role change.
    pub unavailable: usize,
}

/// Adapts the roles of one model's engines to the mix of its requests, by single role changes.
///
/// The planner accumulates regret: the [`loss`] over time in comparison with the best split. It
/// changes the role of one engine once the regret so far plus the regret expected from now on
/// exceeds the cost of a change. Short random losses never add up to that cost, while a large shift
/// of the mix reaches it within seconds.
#[derive(Debug, Clone)]
pub struct Planner {
    weight: ChangeWeight,
    cost: ChangeCost,
    /// Accumulated loss, in engine seconds.
    regret: f64,
    /// The role that engines should change to, for which the regret is accumulated.
    wanted_role: Option<Role>,
    /// When `wanted_role` was set.
    wanted_since: Option<Time>,
    slow_mean: Option<Demand>,
    updated_at: Time,
}

impl Planner {
    /// Creates a planner with the deployment's weight of a role change and the time that one takes.
    pub fn new(weight: ChangeWeight, cost: ChangeCost, now: Time) -> Self {
        Self {
            weight,
            cost,
            regret: 0.0,
            wanted_role: None,
            wanted_since: None,
            slow_mean: None,
            updated_at: now,
        }
    }

    /// Sets the weight of a role change, in engine seconds added to its cost.
    pub fn set_weight(&mut self, weight: ChangeWeight) {
        self.weight = weight;
    }

    /// Returns the role that one engine should change to now, if any. Must be called at regular
    /// intervals.
    pub fn decide(&mut self, input: &PlannerInput, now: Time) -> Option<Role> {
        let elapsed = (now - self.updated_at).as_secs_f64();
        self.updated_at = now;
        let slow =
            self.slow_mean.unwrap_or(input.demand).blend(input.demand, elapsed / SLOW_MEAN_SPAN_S);
        self.slow_mean = Some(slow);
        let goal = best_split(input.demand, input.rates, input.split);
        // A short burst changes the demand of the last seconds but not the slow average.
        let slow_role = role_toward(best_split(slow, input.rates, input.split), input.split);
        let loss_reduction = |d| loss(d, input.rates, input.split) - loss(d, input.rates, goal);
        let steps = goal.prefill.abs_diff(input.split.prefill).max(1) as f64;
        let total = input.split.total() as f64;
        let large_loss = loss_reduction(input.demand) >= LARGE_LOSS_SHARE * total;
        let wanted =
            role_toward(goal, input.split).filter(|role| large_loss || slow_role == Some(*role));
        if wanted != self.wanted_role || wanted.is_none() {
            self.regret *= (-elapsed / REGRET_DECAY_S).exp();
            if wanted.is_some() && wanted != self.wanted_role {
                self.regret = 0.0;
                self.wanted_since = Some(now);
                self.wanted_role = wanted;
            }
            return None;
        }
        let wanted = wanted?;
        let gain = match large_loss {
            true => loss_reduction(input.demand),
            false => loss_reduction(input.demand).min(loss_reduction(slow)),
        } / steps;
        if gain < MIN_GAIN_SHARE * total {
            self.regret *= (-elapsed / REGRET_DECAY_S).exp();
            return None;
        }
        self.regret += gain * elapsed;
        // A loss is expected to continue for as long as it has lasted so far.
        let lasted = self.wanted_since.map_or(0.0, |t| (now - t).as_secs_f64());
        let expected_regret = gain * lasted.min(LOSS_HORIZON_S);
        let cost = (self.cost.drain + self.cost.unavailable).as_secs_f64() * 0.5 + self.weight.0;
        let max_unavailable =
            ((input.split.total() as f64 * MAX_UNAVAILABLE_SHARE).floor() as usize).max(1);
        if self.regret + expected_regret < cost || input.unavailable >= max_unavailable {
            return None;
        }
        self.regret = 0.0;
        Some(wanted)
    }
}

/// Returns the role that engines must change to on the way from the split `from` to `goal`.
fn role_toward(goal: Split, from: Split) -> Option<Role> {
    match goal.prefill.cmp(&from.prefill) {
        Ordering::Greater => Some(Role::Prefill),
        Ordering::Less => Some(Role::Decode),
        Ordering::Equal => None,
    }
}
