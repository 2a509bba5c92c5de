use {
    super::{
        fleet_engine::{FleetEngine, Prompt},
        FleetPolicy, FleetScore, FleetSetup,
    },
    lentil_core::{
        clock::Time,
        ids::Zone,
        manifest::Role,
        plan::{
            serving, PerRole, PriceKind, ScaledTarget, Scaler, ScalingInput, ScalingOrder,
            ScalingOutcome, ScalingReason, ZoneCounts,
        },
        routes::ScalingConfig,
    },
    rand::{rngs::SmallRng, Rng, SeedableRng},
};

/// Time step, in seconds.
const TICK_S: f64 = 0.005;
/// Ticks between two decisions.
const DECISION_TICKS: u64 = 20;
/// Zones and their prices.
const ZONES: [(&str, f64); 3] = [("a", 0.85), ("b", 1.2), ("c", 1.0)];
/// Time for which a request occupies a decode slot, in seconds.
const DECODE_S: f64 = 0.6;
/// Period of the demand.
const PERIOD_S: f64 = 12.0;
/// Deviation of the demand from its mean at the peak.
const AMPLITUDE: f64 = 0.27;
/// Length of a slow phase of an engine.
const SLOW_S: f64 = 2.0;
/// How much slower an engine is in such a phase.
const SLOW_FACTOR: f64 = 5.0;
/// Slow phases per engine and second.
const SLOW_RATE: f64 = 0.01;
/// Time from the notice until a reclaimed target is gone, and in which a removed one drains.
const LEAVE_S: f64 = 2.0;
/// Time for which a role change takes an engine out of service.
const ROLE_CHANGE_S: f64 = 4.0;
/// Utilization at which the threshold baseline adds and removes targets.
const THRESHOLDS: (f64, f64) = (0.7, 0.4);

struct Simulation<'a> {
    setup: &'a FleetSetup,
    config: ScalingConfig,
    zones: Vec<Zone>,
    engines: Vec<FleetEngine>,
    scaler: Scaler,
    now: f64,
    good: usize,
    all: usize,
    long: (usize, usize),
    score: FleetScore,
    /// Mean utilization and time of the last change, for the threshold baseline.
    threshold: (f64, f64),
    last_change: f64,
    rng: SmallRng,
}

/// Simulates a fleet whose targets are ordered, booted, billed and reclaimed.
///
/// # Panics
/// Never: the names of the zones are valid.
pub fn simulate_fleet(setup: &FleetSetup) -> FleetScore {
    let zone = |(name, _): &(&str, f64)| name.parse().expect("the name is valid");
    let zones: Vec<Zone> = ZONES.iter().map(zone).collect();
    let config = ScalingConfig {
        min: 1,
        max: (setup.engines / 3 + 8) as u32,
        boot: lentil_core::ids::Millis(4_000),
        spot: Some(0.22),
        prices: zones.iter().cloned().zip(ZONES.map(|(_, price)| price)).collect(),
    };
    let engine = |i: usize| {
        let role = if i.is_multiple_of(2) { Role::Prefill } else { Role::Decode };
        FleetEngine::new(i % ZONES.len(), PriceKind::Ordinary, role, 0.0)
    };
    let mut simulation = Simulation {
        setup,
        config,
        zones,
        engines: (0..setup.engines).map(engine).collect(),
        scaler: Scaler::new(ZoneCounts::new(), Time::ZERO),
        now: 0.0,
        good: 0,
        all: 0,
        long: (0, 0),
        score: FleetScore::default(),
        threshold: (0.5, 10.0),
        last_change: 0.0,
        rng: SmallRng::seed_from_u64(setup.seed),
    };
    for tick in 0..(setup.length / TICK_S) as u64 {
        simulation.tick(tick);
    }
    simulation.finish()
}

impl Simulation<'_> {
    fn tick(&mut self, tick: u64) {
        self.now += TICK_S;
        let now = self.now;
        self.engines.retain(|e| e.gone_at > now || !e.queue.is_empty());
        if self.setup.reclaim.is_some_and(|t| (t - now).abs() < TICK_S / 2.0) {
            self.reclaim();
        }
        self.arrive();
        for i in 0..self.engines.len() {
            self.run_engine(i);
        }
        for engine in self.engines.iter().filter(|e| e.gone_at > now) {
            let spot = if engine.kind == PriceKind::Spot { 0.22 } else { 1.0 };
            self.score.target_seconds += TICK_S;
            self.score.price += TICK_S * spot * ZONES[engine.zone].1;
        }
        if tick.is_multiple_of(DECISION_TICKS) {
            match self.setup.policy {
                FleetPolicy::Fixed => {}
                FleetPolicy::Threshold => self.follow_thresholds(),
                FleetPolicy::Scaler => self.follow_scaler(),
            }
        }
    }

    /// Lets requests arrive in all zones, out of phase.
    fn arrive(&mut self) {
        let burst = self.setup.burst.is_some_and(|t| (t..t + 8.0).contains(&self.now));
        for zone in 0..ZONES.len() {
            let phase = zone as f64 / ZONES.len() as f64 + self.now / PERIOD_S;
            let wave = 1.0 + AMPLITUDE * (phase * std::f64::consts::TAU).sin();
            let factor = wave * if burst { 1.9 } else { 1.0 } / ZONES.len() as f64;
            for (rate, is_long) in [(self.setup.rates.0, true), (self.setup.rates.1, false)] {
                let mut expected = rate * factor * TICK_S;
                while expected > 0.0 {
                    if self.rng.gen::<f64>() < expected.min(1.0) {
                        self.send(is_long);
                    }
                    expected -= 1.0;
                }
            }
        }
    }

    /// Sends a request to the engine that holds its prefix, unless it has a longer queue than the
    /// prefill of the prefix takes, otherwise to the least loaded one.
    fn send(&mut self, is_long: bool) {
        self.all += 1;
        let (now, setup) = (self.now, self.setup);
        let role = if is_long { Role::Prefill } else { Role::Decode };
        let shared_s = if is_long { 13_300.0 / setup.prefill } else { 0.0 };
        let own_s = if is_long { 3_720.0 } else { 383.0 * 2.0 } / setup.prefill;
        let prefix = is_long.then(|| {
            // Squaring favours the low indices: some prefixes are more popular than others.
            (self.rng.gen::<f64>().powi(2) * setup.prefixes.0 as f64) as usize
        });
        let cost = |e: &FleetEngine| {
            let cached = prefix.is_some_and(|p| e.memory.contains(&p));
            e.queued_s() + if cached { 0.0 } else { shared_s } + e.slots.len() as f64 * 1e-3
        };
        let candidates = self.engines.iter().enumerate();
        let candidates = candidates.filter(|(_, e)| e.role == role && e.serves(now));
        let best = candidates.min_by(|a, b| cost(a.1).total_cmp(&cost(b.1))).map(|(i, _)| i);
        let Some(engine) = best.and_then(|i| self.engines.get_mut(i)) else { return };
        let mut left_s = own_s;
        if let Some(prefix) = prefix {
            self.long.1 += 1;
            match engine.memory.iter().position(|p| *p == prefix) {
                Some(at) => {
                    engine.memory.remove(at);
                    self.long.0 += 1;
                }
                None => left_s += shared_s,
            }
            engine.memory.push_back(prefix);
            if engine.memory.len() > setup.prefixes.1 {
                engine.memory.pop_front();
            }
        }
        let objective = if is_long { setup.objectives.0 } else { setup.objectives.1 };
        engine.queue.push_back(Prompt { prefix, arrived: now, left_s, objective });
    }

    fn run_engine(&mut self, index: usize) {
        let now = self.now;
        if self.rng.gen::<f64>() < SLOW_RATE * TICK_S {
            self.engines[index].slow_until = now + SLOW_S;
        }
        let slots = self.setup.slots as usize;
        let engine = &mut self.engines[index];
        engine.slots.retain(|end| *end > now);
        let slow = if now < engine.slow_until { SLOW_FACTOR } else { 1.0 };
        let mut budget = TICK_S / slow;
        let mut prefilled = Vec::new();
        while let Some(prompt) = engine.queue.front_mut().filter(|_| budget > 0.0) {
            let done = prompt.left_s.min(budget);
            prompt.left_s -= done;
            budget -= done;
            let free = engine.role == Role::Prefill || engine.slots.len() < slots;
            if prompt.left_s > 1e-12 || !free {
                break;
            }
            prefilled.extend(engine.queue.pop_front());
            if engine.role == Role::Decode {
                engine.slots.push(now + DECODE_S * slow.min(2.0));
            }
        }
        for prompt in prefilled {
            let mut in_time = now - prompt.arrived <= prompt.objective;
            if prompt.prefix.is_some() {
                in_time &= self.take_slot();
            }
            self.good += usize::from(in_time);
        }
    }

    /// Moves a prefilled request to the decoding engine with the most free slots; returns whether
    /// one was free.
    fn take_slot(&mut self) -> bool {
        let (now, slots) = (self.now, self.setup.slots as usize);
        let decoding = self.engines.iter_mut().filter(|e| e.role == Role::Decode && e.serves(now));
        match decoding.min_by_key(|e| e.slots.len()) {
            Some(engine) if engine.slots.len() < slots => {
                engine.slots.push(now + DECODE_S);
                true
            }
            _ => false,
        }
    }

    /// Reclaims all spot targets of the zone that has the most.
    fn reclaim(&mut self) {
        let count = |zone: usize| {
            self.engines.iter().filter(|e| e.zone == zone && e.kind == PriceKind::Spot).count()
        };
        let Some(zone) = (0..ZONES.len()).max_by_key(|z| count(*z)) else { return };
        let gone_at = self.now + LEAVE_S;
        for engine in &mut self.engines {
            if engine.zone == zone && engine.kind == PriceKind::Spot {
                engine.gone_at = engine.gone_at.min(gone_at);
            }
        }
    }

    fn busy(&self) -> PerRole<f64> {
        let of = |role: Role| {
            let serving = self.engines.iter().filter(|e| e.role == role && !e.leaving());
            serving.map(|e| e.busy(self.setup.slots)).sum()
        };
        PerRole { prefill: of(Role::Prefill), decode: of(Role::Decode) }
    }

    fn follow_scaler(&mut self) {
        let time = Time::from_secs_f64(self.now);
        let now = self.now;
        let registered = self.engines.iter().filter(|e| !e.leaving() && e.ready_at <= now);
        let targets: Vec<ScaledTarget> = registered
            .map(|e| ScaledTarget {
                zone: &self.zones[e.zone],
                kind: e.kind,
                role: e.role,
                serving: e.serves(now),
            })
            .collect();
        let caching = self.setup.prefixes.0.div_ceil(self.setup.prefixes.1) as u32;
        let input = ScalingInput {
            config: &self.config,
            targets: &targets,
            engines: true,
            busy: self.busy(),
            caching,
            may_order: now > 5.0,
            may_remove: true,
        };
        let split = serving(&input);
        let order = self.scaler.decide(&input, time);
        if let Some(order) = order {
            self.scaler.begin(&order, time);
            self.carry_out(&order);
            self.scaler.end(&order, ScalingOutcome::Accepted, time);
        }
        if now - self.last_change >= 1.0 {
            self.change_role(split, time);
        }
    }

    fn change_role(&mut self, split: PerRole<u32>, time: Time) {
        let Some(role) = self.scaler.short_role(split) else { return };
        let (now, scaler, zones) = (self.now, &self.scaler, &self.zones);
        let eligible = |e: &&mut FleetEngine| {
            let removal = scaler.pending_removal(&zones[e.zone], e.kind);
            e.role != role && e.serves(now) && scaler.allows_change(removal, time)
        };
        if let Some(engine) = self.engines.iter_mut().filter(eligible).min_by_key(|e| e.queue.len())
        {
            engine.role = role;
            engine.changing_until = now + ROLE_CHANGE_S;
            self.last_change = now;
        }
    }

    /// Adds or removes a tenth of the targets, ordinary ones of all zones in turns.
    fn follow_thresholds(&mut self) {
        let (now, busy) = (self.now, self.busy());
        let of = |role: Role| {
            self.engines.iter().filter(|e| e.role == role && e.serves(now)).count().max(1) as f64
        };
        let used = (busy.prefill / of(Role::Prefill)).max(busy.decode / of(Role::Decode));
        let (mean, last) = self.threshold;
        let mean = mean + (used - mean) * 0.05;
        self.threshold.0 = mean;
        let ordered = self.engines.iter().filter(|e| !e.leaving()).count();
        if now - last < 4.0 || (THRESHOLDS.1..THRESHOLDS.0).contains(&mean) {
            return;
        }
        self.threshold.1 = now;
        let step = (ordered / 10).max(1);
        let to = if mean > THRESHOLDS.0 { ordered + step } else { (ordered - step).max(6) };
        for (i, zone) in self.zones.clone().into_iter().enumerate() {
            let to = (to / 3 + usize::from(i < to % 3)).min(self.config.max as usize) as u32;
            let (kind, why) = (PriceKind::Ordinary, ScalingReason::Load);
            self.carry_out(&ScalingOrder { zone, kind, from: 0, to, why });
        }
    }

    /// Boots targets, or lets the platform choose some to drain.
    fn carry_out(&mut self, order: &ScalingOrder) {
        self.score.orders += 1;
        let Some(zone) = self.zones.iter().position(|z| *z == order.zone) else { return };
        let of_group = |e: &FleetEngine| e.zone == zone && e.kind == order.kind && !e.leaving();
        let mut have: Vec<usize> = (0..self.engines.len()).collect();
        have.retain(|i| of_group(&self.engines[*i]));
        for n in have.len()..order.to as usize {
            let role = if n.is_multiple_of(2) { Role::Prefill } else { Role::Decode };
            self.engines.push(FleetEngine::new(zone, order.kind, role, self.now + 4.0));
        }
        for _ in order.to as usize..have.len() {
            let chosen = have.swap_remove(self.rng.gen_range(0..have.len()));
            self.engines[chosen].gone_at = self.now + LEAVE_S;
        }
    }

    fn finish(self) -> FleetScore {
        FleetScore {
            goodput: self.good as f64 / self.all.max(1) as f64,
            hits: self.long.0 as f64 / self.long.1.max(1) as f64,
            targets: self.engines.iter().filter(|e| !e.leaving()).count(),
            ..self.score
        }
    }
}
