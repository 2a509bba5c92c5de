use {
    super::{
        Availability, HeldPrefixes, KvCache, LoadView, Notice, PrefixProgress, Registration,
        TargetPace, TargetSpeed,
    },
    crate::{
        clock::Time,
        ids::{
            AdapterId, EngineId, Incarnation, Millis, ModelId, PrefixHash, Region, SoftwareVersion,
            TokenRate, Tokens, Zone,
        },
        limit::{AnnouncedLimit, Breaker, LocalSchedule, PermitSchedule},
        manifest::{EngineRates, EngineSpec, Role},
    },
    smallvec::SmallVec,
    std::{net::SocketAddr, time::Duration},
};

/// Largest share of a decoding engine's time that prefill may take; a larger one makes the gaps
/// between output tokens too long.
pub const MAX_MIXED_PREFILL_SHARE: f64 = 0.3;

/// Prefill rate of a registered engine that decodes, as a share of its full prefill rate.
const PREFILL_SHARE_WHILE_DECODING: f64 = 0.5;
/// Prefill rate assumed for a registered engine until it is measured: that of a common
/// accelerator.
const INITIAL_PREFILL_TOKENS_PER_S: f64 = 30_000.0;
/// Decode rate per slot assumed for a registered engine until it is measured.
const INITIAL_SLOT_TOKENS_PER_S: f64 = 60.0;

/// State of one engine as one instance knows it.
#[derive(Debug, Clone)]
pub struct EngineView {
    /// Name in the manifest or the platform's directory.
    pub id: EngineId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Region in which it runs.
    pub region: Region,
    /// Availability zone in which it runs.
    pub zone: Zone,
    /// Model that it serves.
    pub model: ModelId,
    /// Prefill and decode rates, slots and cache size.
    pub rates: EngineRates,
    /// Role in its latest report.
    pub role: Role,
    /// Version of its software, if it registered itself.
    pub software: Option<SoftwareVersion>,
    /// From when on all instances know this version.
    pub settled: Time,
    /// Whether the store has this version, so that streams may begin at the engine.
    pub recorded: bool,
    /// Incarnation in its latest report.
    pub boot: Incarnation,
    /// Adapters that it has loaded.
    pub adapters: SmallVec<[AdapterId; 4]>,
    /// Estimate of its load.
    pub load: LoadView,
    /// Its pace at the moment, if it announces one.
    pub pace: TargetPace,
    /// Its lasting speed; learned only if it announces its pace.
    pub speed: TargetSpeed,
    /// Its KV cache, if cached prefixes of its service are weighed against the wait.
    pub kv: Option<KvCache>,
    /// Shared prefixes in its memory; recorded only if `kv` is known.
    pub held_prefixes: HeldPrefixes,
    /// Circuit breaker that stops requests to it while it fails.
    pub breaker: Breaker,
    /// Rate limit that it announces in its answers.
    pub limit: AnnouncedLimit,
    /// Permits for requests to it, if this instance holds its schedule.
    pub permits: PermitSchedule,
    /// Requests to it without permits.
    pub unpermitted: LocalSchedule,
    /// Until when it wants no requests from this instance.
    pub held: Time,
    /// True while it is leaving the fleet; it then gets no new work.
    pub leaving: bool,
    /// True while it is drained before an order; it then gets no new work.
    pub draining: bool,
    /// True while it is carrying out an order; it then gets no new work.
    pub unavailable: bool,
    /// When it last completed an answer for this instance.
    pub last_answer: Time,
    /// Whether the platform may reclaim it; `None` while this is not known.
    pub spot: Option<bool>,
    /// Time until it is reclaimed, as of its latest registration.
    pub leaves: Option<Millis>,
}

impl EngineView {
    /// Creates the view of a manifest engine that has not reported yet.
    pub fn new(id: EngineId, spec: &EngineSpec) -> Self {
        Self {
            id,
            address: spec.address,
            region: spec.region.clone(),
            zone: spec.zone.clone(),
            model: spec.model.clone(),
            rates: spec.rates,
            role: Role::default(),
            software: None,
            settled: Time::ZERO,
            recorded: true,
            boot: Incarnation(0),
            adapters: SmallVec::new(),
            load: LoadView::default(),
            pace: TargetPace::default(),
            speed: TargetSpeed::default(),
            kv: None,
            held_prefixes: HeldPrefixes::default(),
            breaker: Breaker::default(),
            limit: AnnouncedLimit::default(),
            permits: PermitSchedule::default(),
            unpermitted: LocalSchedule::default(),
            held: Time::ZERO,
            last_answer: Time::ZERO,
            spot: Some(false),
            leaves: None,
            leaving: false,
            draining: false,
            unavailable: false,
        }
    }

    /// Creates the view of a target that registered itself, with rates that are assumed until they
    /// are measured.
    pub fn from_registration(target: &Registration) -> Self {
        let slots = target.slots.max(1);
        Self {
            id: target.id.clone(),
            address: target.address,
            region: target.region.clone(),
            zone: target.zone.clone(),
            model: target.service.clone(),
            rates: EngineRates {
                prefill: TokenRate(INITIAL_PREFILL_TOKENS_PER_S),
                decode: TokenRate(f64::from(slots) * INITIAL_SLOT_TOKENS_PER_S),
                slots,
                cache: Tokens(0),
            },
            role: target.role,
            software: Some(target.software.clone()),
            settled: Time::ZERO,
            recorded: true,
            boot: target.boot,
            adapters: SmallVec::new(),
            load: LoadView::from_in_flight(),
            pace: TargetPace::default(),
            speed: TargetSpeed::default(),
            kv: None,
            held_prefixes: HeldPrefixes::default(),
            breaker: Breaker::default(),
            limit: AnnouncedLimit::default(),
            permits: PermitSchedule::default(),
            unpermitted: LocalSchedule::default(),
            held: Time::ZERO,
            last_answer: Time::ZERO,
            spot: target.spot,
            leaves: target.leaves,
            leaving: target.leaving,
            draining: false,
            unavailable: false,
        }
    }

    /// Returns whether the engine gets new work at `now`, or why not.
    pub fn availability(&self, now: Time) -> Availability {
        match self {
            e if e.leaving => Availability::Leaving,
            e if e.draining || e.unavailable => Availability::Changing,
            e if !e.breaker.allows(now) => Availability::Failing,
            e if e.is_held(now) => Availability::Held,
            _ => Availability::Open,
        }
    }

    /// Returns true if new work may be sent to the engine.
    pub fn accepts_work(&self, now: Time) -> bool {
        self.availability(now) == Availability::Open
    }

    /// Like [`Self::accepts_work`] if no other engine of the service does, so that one that fails is
    /// probed early.
    pub fn accepts_early_probe(&self, now: Time) -> bool {
        match self.availability(now) {
            Availability::Open => true,
            Availability::Failing => !self.is_held(now) && self.breaker.allows_early(now),
            Availability::Leaving | Availability::Changing | Availability::Held => false,
        }
    }

    /// Like [`Self::accepts_work`] once the target wants requests again.
    pub fn would_accept_work(&self, now: Time) -> bool {
        matches!(self.availability(now), Availability::Open | Availability::Held)
    }

    /// Returns true while the target wants no requests from this instance.
    pub fn is_held(&self, now: Time) -> bool {
        now < self.held
    }

    /// Returns the time until the target may be sent a request: it may want none, or have no permit.
    pub fn send_wait(&self, now: Time) -> Duration {
        self.limit.wait(now).max(self.held - now)
    }

    /// Returns true if other engines may fetch cached blocks from this one.
    pub fn serves_copies(&self, now: Time) -> bool {
        !self.leaving && !self.unavailable && !self.is_held(now)
    }

    /// Records that a prompt with a shared prefix was sent to the engine, or that the prefix is in
    /// its memory, if its KV cache is known.
    pub fn record_prefix(
        &mut self,
        prefix: PrefixHash,
        progress: PrefixProgress,
        tokens: Option<Tokens>,
        now: Time,
    ) {
        if self.kv.is_some() {
            self.held_prefixes.record(prefix, progress, tokens, now);
        }
    }

    /// Takes over what this incarnation, or a later one, has said of itself.
    pub fn apply_notice(&mut self, notice: Notice) {
        self.leaving |= notice.leaving;
        self.held = self.held.max(notice.held);
    }

    /// Returns how many prompt tokens per second the engine prefills in its current role.
    pub fn prefill_rate(&self) -> f64 {
        match self.role {
            Role::Prefill => self.rates.prefill.0,
            Role::Decode if self.load.in_flight.is_some() => {
                self.rates.prefill.0 * PREFILL_SHARE_WHILE_DECODING
            }
            Role::Decode => self.rates.prefill.0 * MAX_MIXED_PREFILL_SHARE,
        }
    }
}
