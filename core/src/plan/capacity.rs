use {
    super::Demand,
    crate::{
        fleet::MAX_MIXED_PREFILL_SHARE,
        manifest::{EngineRates, Role},
    },
};

/// Part of the requests that may miss a target before an engine counts as fully used.
const MAX_LATE_SHARE: f64 = 0.02;
/// Part of the decoding engines' time that can be used; slots are many, so that few wait.
const USABLE_DECODE_SHARE: f64 = 0.88;
/// Part of the mixed-in prefill's time that can be used.
const USABLE_MIXED_SHARE: f64 = 0.7;
/// Seconds of the way to a first token that are not prefill.
const FIRST_TOKEN_OVERHEAD_S: f64 = 0.08;

/// Engines of one model in each role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Split {
    /// Engines that prefill.
    pub prefill: usize,
    /// Engines that decode.
    pub decode: usize,
}

impl Split {
    /// All engines.
    pub fn total(self) -> usize {
        self.prefill + self.decode
    }

    /// The split after one engine took a role; `None` if the other role would have none left.
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

/// Probability that one of `servers` busy to a part `used` makes a request wait (Erlang C).
fn wait_probability(servers: usize, used: f64) -> f64 {
    let offered = servers as f64 * used;
    let blocked = (1..=servers).fold(1.0, |b, k| offered * b / (k as f64 + offered * b));
    blocked / (1.0 - used * (1.0 - blocked))
}

/// Part of the time of `servers` that can be used while few requests wait for longer than
/// `slack` service times.
fn usable(servers: usize, slack: f64) -> f64 {
    let late = |used: f64| {
        let spare = servers as f64 * (1.0 - used);
        wait_probability(servers, used) * (-spare * slack).exp()
    };
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..20 {
        let middle = (low + high) / 2.0;
        match late(middle) <= MAX_LATE_SHARE {
            true => low = middle,
            false => high = middle,
        }
    }
    low
}

/// Part of the requests of `demand` that engines with `rates` serve within their targets.
///
/// Long prompts need prefilling engines, with spare time enough that they don't queue for long.
/// Short ones are prefilled beside decoding, which takes up to
/// [`MAX_MIXED_PREFILL_SHARE`] of its time.
pub fn served_share(demand: Demand, rates: &EngineRates, split: Split) -> f64 {
    let requests = demand.long + demand.short;
    if requests <= 0.0 {
        return 1.0;
    }
    let (p, d) = (split.prefill as f64, split.decode as f64);
    let part = |capacity: f64, work: f64| (capacity / work.max(1e-9)).min(1.0);
    let service = demand.mean_prefill_s(rates.prefill.0);
    let slack = ((demand.mean_ttft_budget() - FIRST_TOKEN_OVERHEAD_S - service)
        / service.max(1e-9))
    .max(0.0);
    let prefill = demand.prefill / rates.prefill.0;
    let long = part(p * usable(split.prefill, slack), prefill);
    let mixed = demand.mixed / rates.prefill.0;
    let short = part(d * MAX_MIXED_PREFILL_SHARE * USABLE_MIXED_SHARE, mixed);
    let decode = part(d * USABLE_DECODE_SHARE, demand.decode / rates.decode.0 + mixed);
    (demand.long * long + demand.short * short) / requests * decode
}

/// Engines' worth of requests that miss their targets in a split.
pub fn loss(demand: Demand, rates: &EngineRates, split: Split) -> f64 {
    split.total() as f64 * (1.0 - served_share(demand, rates, split))
}

/// The split of `total` engines with the least loss, nearest to `current` among equals.
pub fn best_split(demand: Demand, rates: &EngineRates, current: Split) -> Split {
    let total = current.total();
    let split = |prefill: usize| Split { prefill, decode: total - prefill };
    // At least one engine decodes, or nothing is served.
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
