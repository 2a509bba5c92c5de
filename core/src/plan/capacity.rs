use {
    super::Demand,
    crate::{
        fleet::MAX_MIXED_PREFILL_SHARE,
        manifest::{EngineRates, Role},
    },
};

/// Share of requests that may miss a latency target before a group of engines counts as fully
/// used.
const MAX_LATE_SHARE: f64 = 0.02;
/// Usable share of the decode capacity. It is high because an engine has many slots, so few
/// requests wait for one.
const USABLE_DECODE_SHARE: f64 = 0.88;
/// Usable share of the prefill capacity of decoding engines.
const USABLE_MIXED_SHARE: f64 = 0.7;
/// Part of the time to the first token that is not prefill.
const FIRST_TOKEN_OVERHEAD_S: f64 = 0.08;

/// Number of engines of one model in each role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Split {
    /// Engines that prefill.
    pub prefill: usize,
    /// Engines that decode.
    pub decode: usize,
}

impl Split {
    /// Returns the number of engines in both roles.
    pub fn total(self) -> usize {
        self.prefill + self.decode
    }

    /// Returns the split after one more engine takes `role`; `None` if the other role would have no
    /// engine left.
    ///
    /// ```
    /// # use lentil_core::{manifest::Role, plan::Split};
    /// let split = Split { prefill: 1, decode: 2 };
    /// assert_eq!(split.with_change(Role::Prefill), Some(Split { prefill: 2, decode: 1 }));
    /// assert_eq!(split.with_change(Role::Decode), None);
    /// ```
    pub fn with_change(self, role: Role) -> Option<Self> {
        let Self { prefill, decode } = self;
        match role {
            Role::Prefill if decode > 1 => Some(Self { prefill: prefill + 1, decode: decode - 1 }),
            Role::Decode if prefill > 1 => Some(Self { prefill: prefill - 1, decode: decode + 1 }),
            _ => None,
        }
    }
}

impl FromIterator<Role> for Split {
    fn from_iter<I: IntoIterator<Item = Role>>(roles: I) -> Self {
        let mut split = Self { prefill: 0, decode: 0 };
        for role in roles {
            match role {
                Role::Prefill => split.prefill += 1,
                Role::Decode => split.decode += 1,
            }
        }
        split
    }
}

/// Returns the probability that a request waits for one of `servers` at `utilization` (Erlang C).
fn wait_probability(servers: usize, utilization: f64) -> f64 {
    let offered = servers as f64 * utilization;
    let blocked = (1..=servers).fold(1.0, |b, k| offered * b / (k as f64 + offered * b));
    blocked / (1.0 - utilization * (1.0 - blocked))
}

/// Returns the highest utilization of `servers` at which at most [`MAX_LATE_SHARE`] of the requests
/// wait for longer than `slack` service times.
fn max_utilization(servers: usize, slack: f64) -> f64 {
    let late_share = |utilization: f64| {
        let spare = servers as f64 * (1.0 - utilization);
        wait_probability(servers, utilization) * (-spare * slack).exp()
    };
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..20 {
        let middle = (low + high) / 2.0;
        match late_share(middle) <= MAX_LATE_SHARE {
            true => low = middle,
            false => high = middle,
        }
    }
    low
}

/// Returns the share of the requests of `demand` that the engines of `split` serve within their
/// latency targets.
///
/// Long prompts are prefilled on prefilling engines, which need enough spare capacity to keep the
/// queueing time short. Short prompts are prefilled on decoding engines, which spend up to
/// [`MAX_MIXED_PREFILL_SHARE`] of their time on it.
pub fn served_share(demand: Demand, rates: &EngineRates, split: Split) -> f64 {
    let requests = demand.long + demand.short;
    if requests <= 0.0 {
        return 1.0;
    }
    let (p, d) = (split.prefill as f64, split.decode as f64);
    let served = |capacity: f64, work: f64| (capacity / work.max(1e-9)).min(1.0);
    let service = demand.mean_prefill_s(rates.prefill.0);
    let slack = ((demand.mean_ttft_budget() - FIRST_TOKEN_OVERHEAD_S - service)
        / service.max(1e-9))
    .max(0.0);
    let prefill = demand.prefill / rates.prefill.0;
    let long = served(p * max_utilization(split.prefill, slack), prefill);
    let mixed = demand.mixed / rates.prefill.0;
    let short = served(d * MAX_MIXED_PREFILL_SHARE * USABLE_MIXED_SHARE, mixed);
    let decode = served(d * USABLE_DECODE_SHARE, demand.decode / rates.decode.0 + mixed);
    (demand.long * long + demand.short * short) / requests * decode
}

/// Returns the capacity lost with `split`, in engines: the share of the requests of `demand` that
/// miss their latency targets, times the number of engines.
pub fn loss(demand: Demand, rates: &EngineRates, split: Split) -> f64 {
    split.total() as f64 * (1.0 - served_share(demand, rates, split))
}

/// Returns the split with the least [`loss`] for as many engines as `current` has; among equals the
/// one with the fewest role changes from `current`.
pub fn best_split(demand: Demand, rates: &EngineRates, current: Split) -> Split {
    let total = current.total();
    let split = |prefill: usize| Split { prefill, decode: total - prefill };
    // At least one engine must decode, or no request completes.
    (0..total.max(1))
        .map(split)
        .min_by(|a, b| {
            let key = |s: &Split| (loss(demand, rates, *s), s.prefill.abs_diff(current.prefill));
            let ((x, i), (y, j)) = (key(a), key(b));
            match (x - y).abs() < 1e-6 {
                true => i.cmp(&j),
                false => x.total_cmp(&y),
            }
        })
        .unwrap_or(current)
}
