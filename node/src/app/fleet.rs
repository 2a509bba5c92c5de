use {
    lentil_core::{
        clock::Time,
        fleet::{
            EngineView, KvCaches, Registration, RunningMean, SoftwareHistory, SoftwareRecord,
            TargetNotices,
        },
        ids::{
            EngineId, Incarnation, Millis, ModelId, ServiceId, SoftwareVersion, TargetId,
            TokenRate, Zone,
        },
        limit::Breaker,
        manifest::{Manifest, Role},
        routes::ServiceConfig,
        settings::PrefixRule,
    },
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time after which the pause of an engine ends by itself, in case the cell's holder is gone.
const MAX_PAUSE: Duration = Duration::from_secs(90);
/// The same time for registered engines, which finish running work and change role within a few
/// seconds.
const MAX_REGISTERED_PAUSE: Duration = Duration::from_secs(10);

/// Time after which an instance that has read the record of software versions is ready, also if none
/// could be recorded.
const MAX_RECORD_WAIT: Duration = Duration::from_secs(5);
/// Time for which the directory counts as known after it was read.
const LISTING_VALIDITY: Duration = Duration::from_secs(5);

/// Engines and targets of plain services, with their current state as known to this instance.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The engines; picks refer to them by index until the next [`Fleet::apply_manifest`].
    pub engines: Vec<EngineView>,
    /// Targets of plain services.
    pub targets: HashMap<(ServiceId, TargetId), TargetView>,
    /// Engines that run a crash suspect of this instance.
    pub suspects: HashSet<EngineId>,
    /// When the targets were last read from the directory, here or by the region watcher.
    pub last_read: Time,
    /// Software versions of targets that are gone.
    pub software: SoftwareHistory,
    /// Whether all targets are to be read from the directory, since something of them is not known
    /// that other instances do not relay.
    pub read_wanted: bool,
    /// What targets said of themselves in their answers.
    notices: TargetNotices,
    pauses: HashMap<EngineId, Pause>,
    learned: HashMap<ModelId, LearnedRates>,
    /// KV caches of the services whose cached prefixes are weighed against the wait.
    caches: KvCaches,
    /// Services whose targets are model engines.
    engine_services: HashSet<ModelId>,
    /// Services whose targets announce their pace.
    paced: HashSet<ModelId>,
}

/// Rates of a service's targets, learned from their answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct LearnedRates {
    /// Prompt tokens per second.
    pub prefill: RunningMean,
    /// Seconds that a plain request occupies a slot.
    pub service_time: RunningMean,
    /// Tokens that a long prompt shares with others.
    pub shared_tokens: RunningMean,
    /// Seconds between two tokens of a stream; learned only of targets that announce their pace.
    pub token_interval: RunningMean,
}

/// Kind of work by which the lasting speed of a target is learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// Prefill of a prompt; its unit is a token.
    Prefill,
    /// Decoding of a stream; its unit is a token.
    Decode,
    /// A plain request.
    Plain,
}

/// Current state of a plain service's target, as known to this instance.
#[derive(Debug, Clone)]
pub struct TargetView {
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Circuit breaker that holds back calls while the target fails.
    pub breaker: Breaker,
    /// Calls of this instance in flight on the target.
    pub in_flight: u32,
    /// Whether it is leaving and gets no new calls.
    pub leaving: bool,
}

#[derive(Debug, Clone, Copy)]
struct Pause {
    number: u64,
    active: bool,
    since: Time,
}

impl LearnedRates {
    fn apply(&self, engine: &mut EngineView) {
        // The factors are 1 for targets that announce no pace.
        let speed = engine.speed;
        if let Some(prefill) = self.prefill.mean() {
            engine.rates.prefill = TokenRate((prefill / speed.prefill.get()).max(1.0));
        }
        let slots = f64::from(engine.rates.slots);
        if let Some(seconds) = self.service_time.mean() {
            // A plain request counts as one token.
            let seconds = seconds * speed.plain.get();
            engine.rates.decode = TokenRate(slots / seconds.max(1e-3));
        } else if let Some(seconds) = self.token_interval.mean() {
            if engine.pace.is_announced() {
                let seconds = seconds * speed.decode.get();
                engine.rates.decode = TokenRate(slots / seconds.max(1e-3));
            }
        }
    }
}

impl Fleet {
    /// Replaces the engines and targets by those of a manifest; keeps the state of those whose
    /// address is unchanged.
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
        self.apply_targets(manifest);
    }

    /// Adds or updates a target from its registration; returns `true` if its incarnation,
    /// software, address, role or leaving state is new.
    pub fn register(&mut self, target: &Registration, now: Time) -> bool {
        let learned = self.learned.get(&target.service).copied().unwrap_or_default();
        let settled =
            self.software.settles_at(&self.engines, &target.service, &target.software, now);
        let recorded = self.software.is_recorded(&target.service, &target.software);
        let Some(engine) = self.engines.iter_mut().find(|e| e.id == target.id) else {
            let kv = self.caches.of(&target.service);
            let new = EngineView::from_registration(target);
            let mut engine = EngineView { settled, recorded, kv, ..new };
            learned.apply(&mut engine);
            self.notices
                .of(&engine.id, engine.boot)
                .into_iter()
                .for_each(|n| engine.apply_notice(n));
            self.engines.push(engine);
            return true;
        };
        let software = engine.software.as_ref();
        let restarted = engine.boot != target.boot || software != Some(&target.software);
        if restarted || engine.address != target.address {
            self.software.record_gone(engine, now);
            let kv = self.caches.of(&target.service);
            let new = EngineView::from_registration(target);
            *engine = EngineView { settled, recorded, kv, ..new };
            learned.apply(engine);
            self.notices
                .of(&engine.id, engine.boot)
                .into_iter()
                .for_each(|n| engine.apply_notice(n));
            self.software.forget_absent(&self.engines);
            return true;
        }
        // A target that is leaving does not come back in the same incarnation.
        let leaving = engine.leaving || target.leaving;
        let changed = engine.leaving != leaving || engine.role != target.role;
        engine.leaving = leaving;
        engine.role = target.role;
        engine.model = target.service.clone();
        engine.spot = target.spot.or(engine.spot);
        engine.leaves = target.leaves.or(engine.leaves);
        changed
    }

    /// Records that a target's process said in an answer that it is leaving; returns whether that
    /// is new.
    pub fn record_leaving(&mut self, id: &EngineId, boot: Incarnation, now: Time) -> bool {
        let new = self.notices.record_leaving(id, boot, now);
        self.apply_notices(id);
        new
    }

    /// Records that a target's process wants no requests until `until`; returns whether that is
    /// later than what was known.
    pub fn record_hold(
        &mut self,
        id: &EngineId,
        boot: Incarnation,
        until: Time,
        now: Time,
    ) -> bool {
        let new = self.notices.record_hold(id, boot, until, now);
        self.apply_notices(id);
        new
    }

    fn apply_notices(&mut self, id: &EngineId) {
        let Some(engine) = self.engines.iter_mut().find(|e| e.id == *id) else { return };
        self.notices.of(id, engine.boot).into_iter().for_each(|n| engine.apply_notice(n));
    }

    /// Removes a target whose entry is gone; returns `true` if it was known.
    pub fn deregister(&mut self, id: &EngineId, now: Time) -> bool {
        let Some(index) = self.engines.iter().position(|e| e.id == *id) else { return false };
        self.software.record_gone(&self.engines.remove(index), now);
        self.software.forget_absent(&self.engines);
        true
    }

    /// Returns whether there are targets and, but for a store that accepts no writes for a while, the
    /// software version of one is recorded.
    pub fn begins_streams(&self, now: Time) -> bool {
        let overdue = self.software.complete().is_some_and(|at| now - at >= MAX_RECORD_WAIT);
        !self.engines.is_empty() && (overdue || self.engines.iter().any(|e| e.recorded))
    }

    /// Takes over the stored record of the software versions, as it is now.
    pub fn apply_software_record(&mut self, record: &SoftwareRecord, now: Time) {
        self.software.apply_record(record, &self.engines, now);
        self.update_recorded();
    }

    /// Takes over from a record, which may be some seconds old, which versions are recorded.
    pub fn confirm_software(&mut self, record: &SoftwareRecord) {
        self.software.confirm(record, &self.engines);
        self.update_recorded();
    }

    fn update_recorded(&mut self) {
        for engine in &mut self.engines {
            let software = engine.software.as_ref();
            engine.recorded = software.is_none_or(|v| self.software.is_recorded(&engine.model, v));
        }
    }

    /// Returns the record of software versions that is to replace the stored one, if they differ. `at`
    /// marks versions that have left.
    pub fn next_software_record(
        &self,
        stored: &SoftwareRecord,
        at: Millis,
        now: Time,
    ) -> Option<SoftwareRecord> {
        let listed = self.last_read > Time::ZERO && now - self.last_read <= LISTING_VALIDITY;
        self.software.next_record(stored, &self.engines, listed, at, now)
    }

    /// Returns the software versions that the targets of a service have, or had recently.
    pub fn software_versions(
        &self,
        service: &ModelId,
        now: Time,
    ) -> SmallVec<[&SoftwareVersion; 2]> {
        self.software.versions(&self.engines, service, now)
    }

    /// Returns whether a registration brings its service another software version.
    pub fn adds_version(&self, target: &Registration, now: Time) -> bool {
        let versions = self.software_versions(&target.service, now);
        !versions.is_empty() && !versions.contains(&&target.software)
    }

    /// Returns the only software version that a service has recently had, if that is certain.
    pub fn sole_software(&self, service: &ModelId, now: Time) -> Option<&SoftwareVersion> {
        self.software.sole(&self.engines, service, now)
    }

    /// Returns what is learned of a service's targets.
    pub fn learned_rates(&self, service: &ModelId) -> LearnedRates {
        self.learned.get(service).copied().unwrap_or_default()
    }

    /// Updates the learned rates of a service, and applies them to all its targets.
    pub fn update_rates(&mut self, service: &ModelId, observe: impl FnOnce(&mut LearnedRates)) {
        let rates = self.learned.entry(service.clone()).or_default();
        observe(rates);
        let rates = *rates;
        self.engines.iter_mut().filter(|e| e.model == *service).for_each(|e| rates.apply(e));
    }

    /// Records the pace that a target's process announced in an answer. That of model engines is not
    /// used: in the choice of engines it made more long prompts late.
    pub fn record_pace(&mut self, id: &EngineId, boot: Incarnation, pace: f64, now: Time) {
        let engine = self.engines.iter_mut().find(|e| e.id == *id && e.boot == boot);
        let Some(engine) = engine.filter(|e| !self.engine_services.contains(&e.model)) else {
            return;
        };
        engine.pace.record(pace, now);
        if self.paced.insert(engine.model.clone()) {
            log::info!("pace: service={} announced by target={id}", engine.model);
        }
    }

    /// Learns the lasting speed of a target from work that took `seconds` per unit at `pace`, if the
    /// target announces its pace. The mean of its service is updated before.
    pub fn record_speed(&mut self, id: &EngineId, kind: WorkKind, seconds: f64, pace: f64) {
        let Some(engine) = self.engines.iter_mut().find(|e| e.id == *id) else { return };
        let rates = self.learned.get(&engine.model).copied().unwrap_or_default();
        let (usual, factor) = match kind {
            WorkKind::Prefill => {
                (rates.prefill.mean().map(|rate| 1.0 / rate), &mut engine.speed.prefill)
            }
            WorkKind::Decode => (rates.token_interval.mean(), &mut engine.speed.decode),
            WorkKind::Plain => (rates.service_time.mean(), &mut engine.speed.plain),
        };
        let Some(usual) = usual.filter(|_| engine.pace.is_announced()) else { return };
        factor.observe(seconds, usual, pace);
        rates.apply(engine);
    }

    /// Takes over the services of a configuration.
    pub fn configure(&mut self, services: &BTreeMap<ServiceId, ServiceConfig>, rule: PrefixRule) {
        self.caches.configure(services, rule);
        let engines = services.iter().filter(|(_, service)| service.engine.is_some());
        self.engine_services = engines.filter_map(|(id, _)| id.as_str().parse().ok()).collect();
        self.apply_caches();
    }

    fn apply_caches(&mut self) {
        for engine in self.engines.iter_mut().filter(|e| e.software.is_some()) {
            engine.kv = self.caches.of(&engine.model);
        }
    }

    fn apply_targets(&mut self, manifest: &Manifest) {
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

    /// Looks up an engine by id.
    pub fn engine(&mut self, id: &EngineId) -> Option<&mut EngineView> {
        self.engines.iter_mut().find(|e| e.id == *id)
    }

    /// Records that an engine is paused for an order (`active`) or in service again; returns `true`
    /// if that is new.
    pub fn record_pause(&mut self, id: &EngineId, number: u64, active: bool, now: Time) -> bool {
        let known = self.pauses.get(id);
        // The end of a pause is final: the report of its beginning may arrive later.
        let old = |p: &Pause| p.number > number || (p.number == number && (!p.active || active));
        if known.is_some_and(old) {
            return false;
        }
        self.pauses.insert(id.clone(), Pause { number, active, since: now });
        true
    }

    /// Records a pause as [`Fleet::record_pause`] does, with the engine's role after its order if
    /// that is reported.
    pub fn record_paused_role(
        &mut self,
        id: &EngineId,
        (number, active): (u64, bool),
        role: Option<Role>,
        now: Time,
    ) -> bool {
        let fresh = self.record_pause(id, number, active, now);
        if let Some((engine, role)) = self.engine(id).zip(role.filter(|_| fresh)) {
            engine.role = role;
        }
        fresh
    }

    /// Returns the number of an engine's current pause, if it is paused.
    pub fn pause_number(&self, id: &EngineId) -> Option<u64> {
        self.pauses.get(id).filter(|p| p.active).map(|p| p.number)
    }

    /// Ends pauses that have lasted too long, since their holder is gone, and marks the engines of
    /// the others as draining.
    pub fn refresh(&mut self, now: Time) {
        self.pauses.retain(|_, p| now - p.since < MAX_PAUSE);
        for engine in &mut self.engines {
            let longest =
                if engine.load.in_flight.is_some() { MAX_REGISTERED_PAUSE } else { MAX_PAUSE };
            let pause = self.pauses.get(&engine.id);
            engine.draining = pause.is_some_and(|p| p.active && now - p.since < longest);
        }
    }

    /// Returns the number of engines in a role, for the metrics.
    pub fn count(&self, role: Role) -> usize {
        self.engines.iter().filter(|e| e.role == role).count()
    }
}
