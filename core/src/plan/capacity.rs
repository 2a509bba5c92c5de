use {
    super::Demand,
    crate::{fleet::MIX, manifest::EngineRates},
};

/// Part of an engine's rates that can be used before queues grow past the targets.
pub const USABLE: f64 = 0.85;

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
}

/// Part of `demand` that engines with `rates` serve in a split, between 0 and 1.
///
/// Decoding engines give up to [`MIX`] of their time to prefill.
pub fn served(demand: Demand, rates: &EngineRates, split: Split) -> f64 {
    let engines_p = demand.prefill / (rates.prefill.0 * USABLE);
    let engines_d = demand.decode / (rates.decode.0 * USABLE);
    let (p, d) = (split.prefill as f64, split.decode as f64);
    if engines_p + engines_d <= 0.0 {
        return 1.0;
    }
    // Prefill beyond the prefilling engines takes decoding time, at most MIX of it.
    let by_prefill = (p + d * MIX) / engines_p.max(1e-9);
    let by_decode = d / engines_d.max(1e-9);
    let by_both = (p + d) / (engines_p + engines_d);
    by_prefill.min(by_decode).min(by_both).min(1.0)
}

/// Engines' worth of work that is lost each second in a split.
pub fn loss(demand: Demand, rates: &EngineRates, split: Split) -> f64 {
    let work = demand.prefill / rates.prefill.0 + demand.decode / rates.decode.0;
    work * (1.0 - served(demand, rates, split))
}

/// The split of `total` engines with the least loss, nearest to `current` among equals.
pub fn best(demand: Demand, rates: &EngineRates, current: Split) -> Split {
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
