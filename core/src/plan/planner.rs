use {
    super::{best_split, loss, Demand, Split},
    crate::{
        clock::Time,
        manifest::{ChangeWeight, EngineRates, Role},
    },
    std::{cmp::Ordering, time::Duration},
};

/// Longest time for which a loss is expected to go on.
const LOSS_HORIZON_S: f64 = 60.0; // seconds
/// Seconds that the slow mean of the demand reaches back.
const SLOW_MEAN_SPAN_S: f64 = 20.0;
/// Engines that may be away at once, as a part of all.
const MAX_UNAVAILABLE_SHARE: f64 = 0.2;
/// Least part of all requests that one change must win.
const MIN_GAIN_SHARE: f64 = 0.04;
/// Part of all requests that is lost in no mere gust.
const LARGE_LOSS_SHARE: f64 = 0.17;
/// Time after which regret that has ended is forgotten.
const REGRET_DECAY_S: f64 = 20.0; // seconds

/// What a role change takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChangeCost {
    /// Time from the order to the drain's end, during which no new work comes.
    pub drain: Duration,
    /// Time that the engine is away.
    pub unavailable: Duration,
}

impl Default for ChangeCost {
    fn default() -> Self {
        Self { drain: Duration::from_secs(4), unavailable: Duration::from_secs(4) }
    }
}

/// What the planner decides on.
#[derive(Debug, Clone, Copy)]
pub struct PlannerInput<'a> {
    /// Work that arrives.
    pub demand: Demand,
    /// What each engine can do.
    pub rates: &'a EngineRates,
    /// Engines in service, by the role that they have or are changing to.
    pub split: Split,
    /// Engines that are away now.
    pub unavailable: usize,
}

/// Follows the mix of one model's work by single role changes.
///
/// It sums up the regret: the work lost for not being in the best split. A change is made once
/// the regret so far, and as much again as is expected, outweighs what a change costs. Losses that
/// come and go by chance never sum up to that; a great shift does within seconds.
#[derive(Debug, Clone)]
pub struct Planner {
    weight: ChangeWeight,
    cost: ChangeCost,
    regret: f64,
    since: Option<Time>,
    toward: Option<Role>,
    slow: Option<Demand>,
    at: Time,
}

impl Planner {
    /// A planner with a deployment's weight of changes.
    pub fn new(weight: ChangeWeight, cost: ChangeCost, now: Time) -> Self {
        Self { weight, cost, regret: 0.0, since: None, toward: None, slow: None, at: now }
    }

    /// Sets the weight of changes.
    pub fn set_weight(&mut self, weight: ChangeWeight) {
        self.weight = weight;
    }

    /// The role that one engine should change to now, if any. Call it at regular times.
    pub fn decide(&mut self, s: &PlannerInput, now: Time) -> Option<Role> {
        let passed = (now - self.at).as_secs_f64();
        self.at = now;
        let slow = self.slow.unwrap_or(s.demand).blend(s.demand, passed / SLOW_MEAN_SPAN_S);
        self.slow = Some(slow);
        let goal = best_split(s.demand, s.rates, s.split);
        // A gust of demand turns the latest seconds but not the longer mean.
        let lasting = direction(best_split(slow, s.rates, s.split), s.split);
        let won = |d| loss(d, s.rates, s.split) - loss(d, s.rates, goal);
        let steps = goal.prefill.abs_diff(s.split.prefill).max(1) as f64;
        let total = s.split.total() as f64;
        let great = won(s.demand) >= LARGE_LOSS_SHARE * total;
        let toward = direction(goal, s.split).filter(|role| great || lasting == Some(*role));
        if toward != self.toward || toward.is_none() {
            self.regret *= (-passed / REGRET_DECAY_S).exp();
            if toward.is_some() && toward != self.toward {
                self.regret = 0.0;
                self.since = Some(now);
                self.toward = toward;
            }
            return None;
        }
        let toward = toward?;
        let gain = match great {
            true => won(s.demand),
            false => won(s.demand).min(won(slow)),
        } / steps;
        if gain < MIN_GAIN_SHARE * total {
            self.regret *= (-passed / REGRET_DECAY_S).exp();
            return None;
        }
        self.regret += gain * passed;
        // What has lasted a while is expected to last as long again.
        let lasted = self.since.map_or(0.0, |t| (now - t).as_secs_f64());
        let ahead = gain * lasted.min(LOSS_HORIZON_S);
        let cost = (self.cost.drain + self.cost.unavailable).as_secs_f64() * 0.5 + self.weight.0;
        let room = ((s.split.total() as f64 * MAX_UNAVAILABLE_SHARE).floor() as usize).max(1);
        if self.regret + ahead < cost || s.unavailable >= room {
            return None;
        }
        self.regret = 0.0;
        Some(toward)
    }
}

/// The role that engines change to on the way from one split to another.
fn direction(goal: Split, from: Split) -> Option<Role> {
    match goal.prefill.cmp(&from.prefill) {
        Ordering::Greater => Some(Role::Prefill),
        Ordering::Less => Some(Role::Decode),
        Ordering::Equal => None,
    }
}
