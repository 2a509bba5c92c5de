use {
    super::{total_count, KindCounts, ZoneCounts},
    crate::{ids::Zone, routes::ScalingConfig},
    std::collections::BTreeMap,
};

/// Share of the targets that are ordinary, so that a service can serve while the platform reclaims
/// the spot targets of one zone after another and has no others.
const ORDINARY_SHARE: f64 = 0.3;

/// Returns how many targets of which kind each zone shall have for `total` targets.
///
/// Each zone gets about as many targets as the others, since demand arrives in all of them and
/// traffic between zones takes time. Cheaper zones get more of the ordinary ones. At least `least`
/// targets remain if one zone loses its spot targets. `limits` holds the most spot targets in zones
/// that have no more at the moment.
pub fn layout(
    config: &ScalingConfig,
    total: u32,
    least: u32,
    limits: &BTreeMap<Zone, u32>,
) -> ZoneCounts {
    let mut zones: Vec<(&Zone, f64)> = config.prices.iter().map(|(z, p)| (z, *p)).collect();
    zones.sort_by(|a, b| a.1.total_cmp(&b.1));
    let count = zones.len() as u32;
    if count == 0 {
        return ZoneCounts::new();
    }
    let total = total.clamp(count * config.min, count * config.max.max(config.min));
    let share = |i: u32| total / count + u32::from(i < total % count);
    let totals: Vec<u32> = (0..count).map(share).collect();
    let mut counts: Vec<KindCounts> = match config.spot {
        None => totals.iter().map(|n| KindCounts { ordinary: *n, spot: 0 }).collect(),
        Some(_) => split_kinds(&zones, &totals),
    };
    if config.spot.is_some() {
        move_from_limited(config, &zones, limits, &mut counts);
        keep_least(least, &mut counts);
    }
    let counts = zones.iter().zip(counts).map(|((zone, _), c)| ((*zone).clone(), c));
    counts.collect()
}

/// Divides the targets of each zone into ordinary and spot targets.
fn split_kinds(zones: &[(&Zone, f64)], totals: &[u32]) -> Vec<KindCounts> {
    let total: u32 = totals.iter().sum();
    let ordinary = ((f64::from(total) * ORDINARY_SHARE).ceil() as u32).max(zones.len() as u32);
    let mut counts = vec![KindCounts::default(); zones.len()];
    for _ in 0..ordinary.min(total) {
        // The zone in which one more costs the least, in proportion to those that it has.
        let open = (0..zones.len()).filter(|i| counts[*i].ordinary < totals[*i]);
        let cost = |i: &usize| match counts[*i].ordinary {
            0 => 0.0,
            n => zones[*i].1 * f64::from(n + 1),
        };
        let Some(next) = open.min_by(|a, b| cost(a).total_cmp(&cost(b))) else { break };
        counts[next].ordinary += 1;
    }
    for (count, total) in counts.iter_mut().zip(totals) {
        count.spot = total - count.ordinary;
    }
    counts
}

/// Replaces spot targets that a zone can't have: by spot targets of other zones, otherwise by
/// ordinary ones.
fn move_from_limited(
    config: &ScalingConfig,
    zones: &[(&Zone, f64)],
    limits: &BTreeMap<Zone, u32>,
    counts: &mut [KindCounts],
) {
    let mut missing = 0;
    for ((zone, _), count) in zones.iter().zip(counts.iter_mut()) {
        let most = limits.get(*zone).copied().unwrap_or(u32::MAX);
        missing += count.spot.saturating_sub(most);
        count.spot = count.spot.min(most);
    }
    for _ in 0..missing {
        let with_room = |i: &usize| counts[*i].total() < config.max;
        let open: Vec<usize> = (0..counts.len()).filter(with_room).collect();
        let unlimited = open.iter().filter(|i| !limits.contains_key(zones[**i].0));
        if let Some(i) = unlimited.copied().min_by_key(|i| counts[*i].total()) {
            counts[i].spot += 1;
        } else if let Some(i) = open.iter().copied().min_by_key(|i| counts[*i].total()) {
            counts[i].ordinary += 1;
        }
    }
}

/// Makes spot targets ordinary until `least` targets remain after the loss of one zone's.
fn keep_least(least: u32, counts: &mut [KindCounts]) {
    let total: u32 = counts.iter().map(|c| c.total()).sum();
    while let Some(largest) = counts.iter_mut().max_by_key(|c| c.spot) {
        if largest.spot == 0 || total - largest.spot >= least {
            return;
        }
        largest.spot -= 1;
        largest.ordinary += 1;
    }
}

/// Returns how many ordinary targets `counts` has beyond those of `layout`.
pub(super) fn ordinary_surplus(counts: &ZoneCounts, layout: &ZoneCounts) -> u32 {
    let ordinary = |c: &ZoneCounts| c.values().map(|c| c.ordinary).sum::<u32>();
    ordinary(counts).saturating_sub(ordinary(layout))
}

/// Returns the number by which `layout` exceeds `counts`.
pub(super) fn missing_targets(counts: &ZoneCounts, layout: &ZoneCounts) -> u32 {
    total_count(layout).saturating_sub(total_count(counts))
}
