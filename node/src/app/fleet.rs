use {
    lentil_core::{
        clock::Time,
        fleet::{EngineView, Registration, RunningMean},
        ids::{EngineId, ModelId, ServiceId, TargetId, TokenRate, Zone},
        limit::Breaker,
        manifest::{Manifest, Role},
    },
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time after which a pause ends by itself, should its holder be gone.
const PAUSE: Duration = Duration::from_secs(90);
/// The same for registered engines, which let running work end and change within a few seconds.
const SHORT_PAUSE: Duration = Duration::from_secs(10);

/// Engines and targets of the manifest with what is known of them.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The engines, in the order that picks refer to until the next [`Fleet::apply_manifest`].
    pub engines: Vec<EngineView>,
    /// Targets of plain services.
    pub targets: HashMap<(ServiceId, TargetId), TargetView>,
    /// Engines that run a suspect of this instance.
    pub suspects: HashSet<EngineId>,
    /// When the directory last told what targets there are.
    pub last_read: Time,
    pauses: HashMap<EngineId, Pause>,
    learned: HashMap<ModelId, LearnedRates>,
}

/// What answers have shown of a service's targets.
#[derive(Debug, Clone, Copy, Default)]
pub struct LearnedRates {
    /// Prompt tokens per second.
    pub prefill: RunningMean,
    /// Seconds that a request occupies a slot.
    pub service: RunningMean,
}

/// What is known of a target of a plain service.
#[derive(Debug, Clone)]
pub struct TargetView {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Keeps calls away while it fails.
    pub breaker: Breaker,
    /// Calls of this instance that run there.
    pub in_flight: u32,
    /// It is leaving: no new calls.
    pub leaving: bool,
}

#[derive(Debug, Clone, Copy)]
struct Pause {
    number: u64,
    on: bool,
    since: Time,
}

impl LearnedRates {
    fn apply(&self, engine: &mut EngineView) {
        if let Some(prefill) = self.prefill.mean() {
            engine.rates.prefill = TokenRate(prefill.max(1.0));
        }
        if let Some(seconds) = self.service.mean() {
            // A plain request counts as one token.
            let slots = f64::from(engine.rates.slots);
            engine.rates.decode = TokenRate(slots / seconds.max(1e-3));
        }
    }
}

impl Fleet {
    /// Follows a manifest and keeps what is known of engines that stay.
    pub fn apply_manifest(&mut self, manifest: &Manifest) {
        let mut known: HashMap<EngineId, EngineView> =
            self.engines.drain(..).map(|e| (e.id.clone(), e)).collect();
        for (id, spec) in &manifest.engines {
            let fresh = EngineView::new(id.clone(), spec);
            let view = match known.remove(id).filter(|e| e.address == spec.address) {
                None => fresh,
                Some(old) => EngineView {
                    zone: fresh.zone,
                    region: fresh.region,
                    model: fresh.model,
                    rates: fresh.rates,
                    ..old
                },
            };
            self.engines.push(view);
        }
        self.follow_targets(manifest);
    }

    /// Puts in what a target says of itself; true if that is new.
    pub fn register(&mut self, target: &Registration) -> bool {
        let learned = self.learned.get(&target.service).copied().unwrap_or_default();
        let Some(engine) = self.engines.iter_mut().find(|e| e.id == target.id) else {
            let mut engine = EngineView::registered(target);
            learned.apply(&mut engine);
            self.engines.push(engine);
            return true;
        };
        if engine.boot != target.boot || engine.address != target.address {
            *engine = EngineView::registered(target);
            learned.apply(engine);
            return true;
        }
        // A target that is leaving does not come back in the same incarnation.
        let leaving = engine.leaving || target.leaving;
        let changed = engine.leaving != leaving || engine.role != target.role;
        engine.leaving = leaving;
        engine.role = target.role;
        engine.model = target.service.clone();
        changed
    }

    /// Takes out a target whose entry is gone; true if it was there.
    pub fn deregister(&mut self, id: &EngineId) -> bool {
        let before = self.engines.len();
        self.engines.retain(|e| e.id != *id);
        before != self.engines.len()
    }

    /// Notes what an answer has shown of a service, for all its targets.
    pub fn update_rates(&mut self, service: &ModelId, observe: impl FnOnce(&mut LearnedRates)) {
        let rates = self.learned.entry(service.clone()).or_default();
        observe(rates);
        let rates = *rates;
        self.engines.iter_mut().filter(|e| e.model == *service).for_each(|e| rates.apply(e));
    }

    fn follow_targets(&mut self, manifest: &Manifest) {
        let mut known = std::mem::take(&mut self.targets);
        for (service, spec) in &manifest.services {
            for (id, target) in &spec.targets {
                let key = (service.clone(), id.clone());
                let old = known.remove(&key).filter(|t| t.address == target.address);
                let view = old.unwrap_or_else(|| TargetView {
                    address: target.address,
                    zone: target.zone.clone(),
                    breaker: Breaker::default(),
                    in_flight: 0,
                    leaving: false,
                });
                self.targets.insert(key, view);
            }
        }
    }

    /// An engine by name.
    pub fn engine(&mut self, id: &EngineId) -> Option<&mut EngineView> {
        self.engines.iter_mut().find(|e| e.id == *id)
    }

    /// Notes that an engine is paused for an order or in service again; true if that is news.
    pub fn record_pause(&mut self, id: &EngineId, number: u64, on: bool, now: Time) -> bool {
        let known = self.pauses.get(id);
        // The end of a pause is final: news of its beginning may come later.
        let old = |p: &Pause| p.number > number || (p.number == number && (!p.on || on));
        if known.is_some_and(old) {
            return false;
        }
        self.pauses.insert(id.clone(), Pause { number, on, since: now });
        true
    }

    /// Notes the same with the role that the engine has since its order, if that is told.
    pub fn record_paused_role(
        &mut self,
        id: &EngineId,
        (number, on): (u64, bool),
        role: Option<Role>,
        now: Time,
    ) -> bool {
        let fresh = self.record_pause(id, number, on, now);
        if let Some((engine, role)) = self.engine(id).zip(role.filter(|_| fresh)) {
            engine.role = role;
        }
        fresh
    }

    /// Number of the latest pause of an engine, if it is paused.
    pub fn pause_number(&self, id: &EngineId) -> Option<u64> {
        self.pauses.get(id).filter(|p| p.on).map(|p| p.number)
    }

    /// Ends pauses whose holder is gone and applies the others to the engines.
    pub fn refresh(&mut self, now: Time) {
        self.pauses.retain(|_, p| now - p.since < PAUSE);
        for engine in &mut self.engines {
            let longest = if engine.load.in_flight.is_some() { SHORT_PAUSE } else { PAUSE };
            let pause = self.pauses.get(&engine.id);
            engine.draining = pause.is_some_and(|p| p.on && now - p.since < longest);
        }
    }

    /// Number of engines of a role, for the metrics.
    pub fn count(&self, role: Role) -> usize {
        self.engines.iter().filter(|e| e.role == role).count()
    }
}
