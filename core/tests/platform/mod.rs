//! A platform in virtual time that carries out orders for targets.

use lentil_core::{
    clock::Time,
    ids::{Millis, Zone},
    manifest::Role,
    plan::{
        PerRole, PriceKind, ScaledTarget, Scaler, ScalingInput, ScalingOrder, ScalingOutcome,
        ZoneCounts,
    },
    routes::ScalingConfig,
};

/// Time between two decisions.
const TICK_S: f64 = 0.1;
/// Time for which a role change takes an engine out of service.
const ROLE_CHANGE_S: f64 = 4.0;

/// Work at one moment, in engines that it keeps busy.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    pub prefill: f64,
    pub decode: f64,
}

/// A target, from its order on.
#[derive(Debug, Clone)]
pub struct Target {
    pub zone: Zone,
    pub kind: PriceKind,
    role: Role,
    /// When it registers.
    ready_at: f64,
    /// Until when a role change keeps it from serving.
    changing_until: f64,
}

pub struct Platform {
    pub config: ScalingConfig,
    pub scaler: Scaler,
    pub targets: Vec<Target>,
    /// Orders with the time at which they were given.
    pub orders: Vec<(f64, ScalingOrder)>,
    /// Zone that has no spot targets.
    pub unavailable: Option<Zone>,
    /// If set, calls get no response; the value says whether they are carried out.
    pub lose: Option<bool>,
    pub may_order: bool,
    pub may_remove: bool,
    /// Role of new targets; `None` alternates.
    pub new_role: Option<Role>,
    /// Number of ticks with more work than targets in a role.
    pub overloaded: usize,
    /// Price of the targets so far, in seconds of a target at full price.
    pub cost: f64,
    /// Targets removed within 10 s of a role change.
    pub wasted_changes: usize,
    now: f64,
    last_change: f64,
}

impl Platform {
    /// Starts with `per_zone` ordinary targets in each of three zones, half of them in each role.
    pub fn start(per_zone: usize) -> Self {
        let prices = [("a", 0.85), ("b", 1.2), ("c", 1.0)];
        let config = ScalingConfig {
            min: 1,
            max: 40,
            boot: Millis(4_000),
            spot: Some(0.22),
            prices: prices.iter().map(|(z, p)| (z.parse().unwrap(), *p)).collect(),
        };
        let zones = prices.iter().flat_map(|(z, _)| vec![*z; per_zone]);
        let targets = zones.enumerate().map(|(i, zone)| Target {
            zone: zone.parse().unwrap(),
            kind: PriceKind::Ordinary,
            role: if i % 2 == 0 { Role::Prefill } else { Role::Decode },
            ready_at: 0.0,
            changing_until: 0.0,
        });
        Self {
            config,
            scaler: Scaler::new(ZoneCounts::new(), Time::ZERO),
            targets: targets.collect(),
            orders: Vec::new(),
            unavailable: None,
            lose: None,
            may_order: true,
            may_remove: true,
            new_role: None,
            overloaded: 0,
            cost: 0.0,
            wasted_changes: 0,
            now: 0.0,
            last_change: f64::MIN,
        }
    }

    /// Lets this many targets prefill and all others decode.
    pub fn set_roles(&mut self, prefill: usize) {
        for (i, target) in self.targets.iter_mut().enumerate() {
            target.role = if i < prefill { Role::Prefill } else { Role::Decode };
        }
    }

    /// Runs until `end`, with the work at each time.
    pub fn run(&mut self, end: f64, work: impl Fn(f64) -> Work) {
        while self.now < end {
            self.now += TICK_S;
            self.tick(work(self.now));
        }
    }

    fn tick(&mut self, work: Work) {
        let (now, time) = (self.now, Time::from_secs_f64(self.now));
        let split = self.split();
        let busy = PerRole {
            prefill: work.prefill.min(f64::from(split.prefill)),
            decode: work.decode.min(f64::from(split.decode)),
        };
        let overloaded = work.prefill > f64::from(split.prefill) * 0.9
            || work.decode > f64::from(split.decode) * 0.9;
        self.overloaded += usize::from(overloaded);
        self.cost += self.targets.iter().map(|t| self.price(t)).sum::<f64>() * TICK_S;
        let registered: Vec<ScaledTarget> = self
            .targets
            .iter()
            .filter(|t| t.ready_at <= now)
            .map(|t| ScaledTarget {
                zone: &t.zone,
                kind: t.kind,
                role: t.role,
                serving: t.changing_until <= now,
            })
            .collect();
        let input = ScalingInput {
            config: &self.config,
            targets: &registered,
            engines: true,
            busy,
            caching: 0,
            may_order: self.may_order,
            may_remove: self.may_remove,
        };
        if let Some(order) = self.scaler.decide(&input, time) {
            self.scaler.begin(&order, time);
            let outcome = self.carry_out(&order);
            self.scaler.end(&order, outcome, time);
            self.orders.push((now, order));
        }
        self.change_role();
    }

    fn price(&self, target: &Target) -> f64 {
        let spot = self.config.spot.unwrap_or(1.0);
        self.config.prices[&target.zone] * if target.kind == PriceKind::Spot { spot } else { 1.0 }
    }

    fn carry_out(&mut self, order: &ScalingOrder) -> ScalingOutcome {
        let spot = order.kind == PriceKind::Spot;
        if spot && order.to > order.from && self.unavailable.as_ref() == Some(&order.zone) {
            return ScalingOutcome::Conflict;
        }
        if self.lose != Some(false) {
            self.set_count(&order.zone, order.kind, order.to);
        }
        match self.lose {
            Some(_) => ScalingOutcome::Unknown,
            None => ScalingOutcome::Accepted,
        }
    }

    /// Boots or removes targets of a group until there are `count`.
    pub fn set_count(&mut self, zone: &Zone, kind: PriceKind, count: u32) {
        while self.ordered(zone, kind) > count {
            let of_group = |t: &Target| t.zone == *zone && t.kind == kind;
            let index = self.targets.iter().position(of_group).unwrap();
            let removed = self.targets.remove(index);
            let changed = removed.changing_until + 10.0 > self.now && removed.changing_until > 0.0;
            self.wasted_changes += usize::from(changed);
        }
        while self.ordered(zone, kind) < count {
            let alternate =
                if self.targets.len().is_multiple_of(2) { Role::Prefill } else { Role::Decode };
            self.targets.push(Target {
                zone: zone.clone(),
                kind,
                role: self.new_role.unwrap_or(alternate),
                ready_at: self.now + 4.0,
                changing_until: 0.0,
            });
        }
    }

    /// Takes all spot targets of a zone back and returns their number.
    pub fn reclaim(&mut self, zone: &str) -> usize {
        let before = self.targets.len();
        self.targets.retain(|t| t.zone.as_str() != zone || t.kind == PriceKind::Ordinary);
        before - self.targets.len()
    }

    fn ordered(&self, zone: &Zone, kind: PriceKind) -> u32 {
        self.targets.iter().filter(|t| t.zone == *zone && t.kind == kind).count() as u32
    }

    /// Registered targets of a group.
    pub fn registered(&self, zone: &Zone, kind: PriceKind) -> u32 {
        let of_group = |t: &&Target| t.zone == *zone && t.kind == kind && t.ready_at <= self.now;
        self.targets.iter().filter(of_group).count() as u32
    }

    /// Targets of a kind in all zones.
    pub fn count(&self, kind: PriceKind) -> usize {
        self.targets.iter().filter(|t| t.kind == kind).count()
    }

    /// Targets that serve now, by role.
    pub fn split(&self) -> PerRole<u32> {
        let of = |role: Role| {
            let serves =
                |t: &&Target| t.role == role && t.ready_at.max(t.changing_until) <= self.now;
            self.targets.iter().filter(serves).count() as u32
        };
        PerRole { prefill: of(Role::Prefill), decode: of(Role::Decode) }
    }

    /// Changes the role of one engine if the scaler asks for it.
    fn change_role(&mut self) {
        let Some(role) = self.scaler.short_role(self.split()) else { return };
        if self.now - self.last_change < 1.0 {
            return;
        }
        let (now, scaler) = (self.now, &self.scaler);
        let removal = |t: &Target| scaler.pending_removal(&t.zone, t.kind);
        let time = Time::from_secs_f64(now);
        let eligible = |t: &&mut Target| {
            t.role != role && t.ready_at <= now && scaler.allows_change(removal(t), time)
        };
        let found = self.targets.iter_mut().filter(eligible).min_by_key(|t| removal(t));
        if let Some(target) = found {
            target.role = role;
            target.changing_until = now + ROLE_CHANGE_S;
            self.last_change = now;
        }
    }
}
