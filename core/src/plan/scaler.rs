use {
    super::{
        scaling_group::Group,
        scaling_input::Need,
        scaling_layout::{missing_targets, ordinary_surplus},
        serving, total_count, LoadMeter, PerRole, PriceKind, Removal, ScalingGroup, ScalingInput,
        ScalingOrder, ScalingOutcome, ScalingReason, ZoneCounts,
    },
    crate::{clock::Time, ids::Zone, manifest::Role},
    std::{collections::BTreeMap, time::Duration},
};

/// Shortest interval between two orders; bounds the calls per second.
const ORDER_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest interval between two orders that remove targets: removed ones drain, and the load of the
/// others, whose caches miss more prompts, has to show.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(2_500);
/// Largest part of the targets that one order removes.
const REMOVAL_SHARE: f64 = 0.1;
/// Share of the needed targets by which there may be more, so that small changes of the need cause
/// no orders.
const SURPLUS_MARGIN: f64 = 0.06;
/// Utilization of a role above which nothing is removed.
const MAX_REMOVAL_UTILIZATION: f64 = 0.6;
/// Largest growth of the need over the targets at hand: while all are busy, the work that waits says
/// little of how many are needed.
const MAX_GROWTH: f64 = 1.5;
/// Fewest engines in each role, and fewest targets of a plain service.
const MIN_PER_ROLE: u32 = 2;
/// Fewest ordinary targets that it is worth replacing by spot targets.
const MIN_REPLACED: u32 = 2;
/// Time for which a role must be short of engines before one that is expected to leave changes its
/// role: new targets boot within it.
const SHORT_ROLE_WAIT: Duration = Duration::from_secs(10);
/// Kinds of targets.
const KINDS: [PriceKind; 2] = [PriceKind::Ordinary, PriceKind::Spot];

/// Decides how many targets of which kind each zone of a service has, one order at a time.
///
/// Targets are added at once when those at hand are too few for the demand. Spot targets replace
/// ordinary ones: they are ordered first, and ordinary ones are removed step by step once the new
/// ones serve. Targets beyond the largest need of the last seconds are removed in steps too.
#[derive(Debug, Clone)]
pub struct Scaler {
    meter: LoadMeter,
    counts: ZoneCounts,
    groups: BTreeMap<ScalingGroup, Group>,
    /// How the targets were to be divided at the last decision.
    layout: ZoneCounts,
    need: Need,
    /// Prefilling engines when the scaler began: engines that only cache are not added to them.
    first_prefill: Option<u32>,
    /// Targets when the scaler began. More are added only for work that they can't do: room for bursts
    /// and caches beyond them was not asked for.
    first: Option<u32>,
    /// Since when a role has fewer targets than needed.
    short_since: Option<Time>,
    last_order: Option<Time>,
    last_removal: Option<Time>,
}

impl Scaler {
    /// Creates a scaler that continues from the numbers ordered so far; those of other zones are
    /// taken from the registered targets.
    pub fn new(counts: ZoneCounts, now: Time) -> Self {
        Self {
            meter: LoadMeter::new(now),
            counts,
            groups: BTreeMap::new(),
            layout: ZoneCounts::new(),
            need: Need::default(),
            first_prefill: None,
            first: None,
            short_since: None,
            last_order: None,
            last_removal: None,
        }
    }

    /// Returns the ordered number of targets.
    pub fn counts(&self) -> &ZoneCounts {
        &self.counts
    }

    /// Returns the number of targets that the load needs.
    pub fn needed(&self) -> PerRole<u32> {
        self.need.held
    }

    /// Records the present state and returns the order that is due, if any. Must be called at regular
    /// intervals; [`Self::begin`] must follow before the order is sent.
    pub fn decide(&mut self, input: &ScalingInput, now: Time) -> Option<ScalingOrder> {
        self.meter.record(input.busy, now);
        let serving = serving(input);
        if !input.may_order || self.meter.warming_up(now) || input.config.prices.is_empty() {
            return None;
        }
        self.first.get_or_insert(serving.total());
        self.first_prefill.get_or_insert(serving.prefill);
        self.observe(input, now);
        self.need = self.measure_need(input, serving);
        self.layout = self.plan_layout(input, now);
        self.short_since = self.is_short(serving).then(|| self.short_since.unwrap_or(now));
        if self.last_order.is_some_and(|t| now - t < ORDER_INTERVAL) {
            return None;
        }
        self.repeated(now, |g| g.resend_due(now), ScalingReason::Refused)
            .or_else(|| self.addition(input, now))
            .or_else(|| self.removal(input, serving, now))
            .or_else(|| self.repeated(now, |g| g.confirm_due(now), ScalingReason::Confirm))
            .or_else(|| {
                let boot = input.config.boot.duration();
                self.repeated(now, |g| g.repeat_due(boot, now), ScalingReason::Repeat)
            })
    }

    /// Records that an order is about to be sent.
    pub fn begin(&mut self, order: &ScalingOrder, now: Time) {
        *self.counts.entry(order.zone.clone()).or_default().of_mut(order.kind) = order.to;
        self.group(&order.group()).begin(order.from == order.to, now);
        self.last_order = Some(now);
        if order.to < order.from {
            self.last_removal = Some(now);
        }
    }

    /// Records the result of an order.
    pub fn end(&mut self, order: &ScalingOrder, outcome: ScalingOutcome, now: Time) {
        if outcome == ScalingOutcome::Conflict {
            // The platform keeps the earlier number.
            *self.counts.entry(order.zone.clone()).or_default().of_mut(order.kind) = order.from;
        }
        self.group(&order.group()).end(outcome, now);
    }

    /// Returns the role that is short of engines while the other has some to spare.
    pub fn short_role(&self, serving: PerRole<u32>) -> Option<Role> {
        let need = self.need.held;
        let spare = |have: u32, need: u32| have > need;
        match (serving.prefill < need.prefill, serving.decode < need.decode) {
            (true, false) if spare(serving.decode, need.decode) => Some(Role::Prefill),
            (false, true) if spare(serving.prefill, need.prefill) => Some(Role::Decode),
            _ => None,
        }
    }

    /// Returns whether targets of this group are about to be removed: the platform chooses which ones
    /// of a group leave.
    pub fn pending_removal(&self, zone: &Zone, kind: PriceKind) -> Removal {
        let of = |counts: &ZoneCounts| counts.get(zone).map_or(0, |c| c.of(kind));
        let registered = self.groups.get(&(zone.clone(), kind)).map_or(0, |g| g.registered);
        match registered {
            _ if self.layout.is_empty() => Removal::None,
            n if n > of(&self.counts) => Removal::Ordered,
            n if n > of(&self.layout) => Removal::Expected,
            _ => Removal::None,
        }
    }

    /// Returns whether a role change of a target with this pending removal is worthwhile: one that is
    /// only expected to leave in the end may change if a role has been short for so long that no
    /// other target seems to be there for it.
    pub fn allows_change(&self, removal: Removal, now: Time) -> bool {
        match removal {
            Removal::None => true,
            Removal::Expected => self.short_since.is_some_and(|t| now - t >= SHORT_ROLE_WAIT),
            Removal::Ordered => false,
        }
    }

    fn is_short(&self, serving: PerRole<u32>) -> bool {
        let need = self.need.held;
        serving.prefill < need.prefill || serving.decode < need.decode
    }

    fn group(&mut self, key: &ScalingGroup) -> &mut Group {
        self.groups.entry(key.clone()).or_insert_with(Group::new)
    }

    /// Records the registered targets of each group.
    fn observe(&mut self, input: &ScalingInput, now: Time) {
        for zone in input.config.prices.keys() {
            let registered = KINDS.map(|kind| {
                let of_group = input.targets.iter().filter(|t| t.zone == zone && t.kind == kind);
                (kind, of_group.count() as u32)
            });
            let first = !self.counts.contains_key(zone);
            let counts = self.counts.entry(zone.clone()).or_default();
            for (kind, registered) in registered {
                if first {
                    *counts.of_mut(kind) = registered;
                }
                let group = self.groups.entry((zone.clone(), kind)).or_insert_with(Group::new);
                let reclaimed = group.observe(registered, counts.of(kind), now);
                if reclaimed && kind == PriceKind::Spot {
                    group.block(now);
                }
            }
        }
    }

    fn measure_need(&self, input: &ScalingInput, serving: PerRole<u32>) -> Need {
        let fewest =
            PerRole { prefill: if input.engines { MIN_PER_ROLE } else { 0 }, decode: MIN_PER_ROLE };
        let growth = serving.map(|n| (f64::from(n.max(MIN_PER_ROLE)) * MAX_GROWTH).ceil() as u32);
        let first = self.first.unwrap_or(0);
        let caching = input.caching.min(self.first_prefill.unwrap_or(0));
        let bounded = |need: PerRole<u32>, peak: PerRole<u32>| {
            let need = limit_room(need, peak, first);
            let mut need = need.zip(growth, u32::min).zip(fewest, u32::max);
            need.prefill = need.prefill.max(caching);
            need
        };
        Need {
            now: bounded(self.meter.need(), self.meter.peak()),
            held: bounded(self.meter.held_need(), self.meter.held_peak()),
            least: self.meter.least().zip(growth, u32::min).zip(fewest, u32::max),
        }
    }

    /// Returns how the targets shall be divided.
    fn plan_layout(&self, input: &ScalingInput, now: Time) -> ZoneCounts {
        let boot = input.config.boot.duration();
        let blocked = |key: &ScalingGroup| self.groups.get(key).is_some_and(|g| g.blocked(now));
        let mut limits = BTreeMap::new();
        let (mut available, mut lost) = (0, 0);
        for (zone, counts) in &self.counts {
            for kind in KINDS {
                let key = (zone.clone(), kind);
                let Some(group) = self.groups.get(&key) else { continue };
                let ordered = counts.of(kind);
                let there = group.available(ordered, boot, now);
                available += there;
                if !blocked(&key) {
                    lost += ordered - there;
                } else if kind == PriceKind::Spot {
                    limits.insert(zone.clone(), there);
                }
            }
        }
        let (need, held) = (self.need.now.total(), self.need.held.total());
        let ordered = total_count(&self.counts);
        let margin = ((f64::from(held) * SURPLUS_MARGIN).ceil() as u32).max(1);
        let total = match ordered {
            // With some more, so that a need that still grows does not cause one order after another.
            _ if available < need => held + margin + lost,
            ordered if ordered > held + margin => held,
            ordered => ordered,
        };
        super::layout(input.config, total, self.need.least.total(), &limits)
    }

    /// Returns an order for the first group to which `due` applies, with the same number as before.
    fn repeated(
        &self,
        now: Time,
        due: impl Fn(&Group) -> bool,
        why: ScalingReason,
    ) -> Option<ScalingOrder> {
        let group = self.groups.iter().find(|(_, g)| !g.blocked(now) && due(g));
        let (zone, kind) = group?.0.clone();
        let count = self.counts.get(&zone)?.of(kind);
        Some(ScalingOrder { zone, kind, from: count, to: count, why })
    }

    /// Returns an order for more targets, if there are too few or spot targets can replace ordinary
    /// ones.
    fn addition(&self, input: &ScalingInput, now: Time) -> Option<ScalingOrder> {
        let effective = self.effective_counts(now);
        let missing = missing_targets(&effective, &self.layout);
        let replaced = ordinary_surplus(&self.counts, &self.layout);
        for kind in [PriceKind::Spot, PriceKind::Ordinary] {
            for (zone, wanted) in &self.layout {
                let counts = self.counts.get(zone).copied().unwrap_or_default();
                let blocked = |g: &Group| g.blocked(now);
                let is_blocked = self.groups.get(&(zone.clone(), kind)).is_some_and(blocked);
                let from = counts.of(kind);
                // The zone's bound counts targets that were reclaimed as if they were there.
                let room = input.config.max.saturating_sub(counts.total());
                let to = wanted.of(kind).min(from + room);
                if is_blocked || to <= from {
                    continue;
                }
                let why = match (missing > 0, kind) {
                    (true, _) => ScalingReason::Load,
                    (false, PriceKind::Spot) if replaced >= MIN_REPLACED => ScalingReason::Price,
                    _ => continue,
                };
                return Some(ScalingOrder { zone: zone.clone(), kind, from, to, why });
            }
        }
        None
    }

    /// Returns the ordered numbers, or the registered ones of groups that can't be ordered.
    fn effective_counts(&self, now: Time) -> ZoneCounts {
        let mut effective = self.counts.clone();
        for ((zone, kind), group) in self.groups.iter().filter(|(_, g)| g.blocked(now)) {
            if let Some(counts) = effective.get_mut(zone) {
                let count = counts.of_mut(*kind);
                *count = (*count).min(group.registered);
            }
        }
        effective
    }

    /// Returns an order for fewer targets, once all ordered ones serve and more are there than
    /// needed.
    fn removal(
        &self,
        input: &ScalingInput,
        serving: PerRole<u32>,
        now: Time,
    ) -> Option<ScalingOrder> {
        let boot = input.config.boot.duration();
        let recent = self.last_removal.is_some_and(|t| now - t < REMOVAL_INTERVAL);
        let pending = self.groups.iter().any(|((zone, kind), group)| {
            let ordered = self.counts.get(zone).map_or(0, |c| c.of(*kind));
            group.booting(ordered, boot, now) || group.registered > ordered
        });
        let fast = self.meter.fast();
        let used = fast.zip(serving, |busy, n| busy / f64::from(n.max(1)));
        let early = !input.may_remove || !self.meter.period_seen(now);
        if early || recent || pending || used.prefill.max(used.decode) > MAX_REMOVAL_UTILIZATION {
            return None;
        }
        // The platform may remove engines of one role only; role changes then restore the split.
        let spare = serving.zip(self.need.least, u32::saturating_sub);
        let spare = if input.engines { spare.prefill.min(spare.decode) } else { spare.decode };
        let beyond = serving.total().saturating_sub(total_count(&self.layout));
        let step = ((f64::from(serving.total()) * REMOVAL_SHARE) as u32).max(1);
        let step = step.min(beyond).min(spare);
        KINDS.iter().find_map(|kind| self.removal_of(input, *kind, step, now))
    }

    /// Returns an order for up to `step` fewer targets of a kind, in the zone that has the most too
    /// many, weighted by their price.
    fn removal_of(
        &self,
        input: &ScalingInput,
        kind: PriceKind,
        step: u32,
        now: Time,
    ) -> Option<ScalingOrder> {
        let excess = |zone: &Zone| -> u32 {
            let counts = self.counts.get(zone).copied().unwrap_or_default();
            let wanted = self.layout.get(zone).map_or(0, |c| c.of(kind));
            let above_min = counts.total().saturating_sub(input.config.min);
            let lowers = |g: &Group| g.may_lower(now);
            let may_lower = self.groups.get(&(zone.clone(), kind)).is_some_and(lowers);
            match may_lower {
                true => counts.of(kind).saturating_sub(wanted).min(above_min).min(step),
                false => 0,
            }
        };
        let weight = |zone: &Zone, price: f64| {
            let counts = self.counts.get(zone).map_or(0, |c| c.of(kind));
            let wanted = self.layout.get(zone).map_or(0, |c| c.of(kind));
            f64::from(counts.saturating_sub(wanted)) * price
        };
        let zones = input.config.prices.iter().filter(|(zone, _)| excess(zone) > 0);
        let (zone, _) = zones.max_by(|a, b| weight(a.0, *a.1).total_cmp(&weight(b.0, *b.1)))?;
        let from = self.counts.get(zone)?.of(kind);
        let to = from - excess(zone);
        Some(ScalingOrder { zone: zone.clone(), kind, from, to, why: ScalingReason::Surplus })
    }
}

/// Reduces the room for bursts so that no more than `most` targets are needed, or those that the
/// present work needs.
fn limit_room(need: PerRole<u32>, peak: PerRole<u32>, most: u32) -> PerRole<u32> {
    let room = need.total().saturating_sub(peak.total());
    let allowed = most.saturating_sub(peak.total());
    if room <= allowed {
        return need;
    }
    let part = f64::from(allowed) / f64::from(room);
    need.zip(peak, |need, peak| peak + (f64::from(need.saturating_sub(peak)) * part).floor() as u32)
}
