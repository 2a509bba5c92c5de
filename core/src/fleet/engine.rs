use {
    super::{LoadView, Registration},
    crate::{
        clock::Time,
        ids::{AdapterId, EngineId, Incarnation, ModelId, Region, TokenRate, Tokens, Zone},
        limit::Breaker,
        manifest::{EngineRates, EngineSpec, Role},
    },
    smallvec::SmallVec,
    std::net::SocketAddr,
};

/// Share of a decoding engine's time that prefill may take; with more, tokens come too far apart.
pub const MIX: f64 = 0.3;

/// Part of the prefill rate that a registered engine has while it decodes.
const BESIDE: f64 = 0.5;
/// Prompt tokens per second of a registered engine until it is learned; a common accelerator's.
const FIRST_PREFILL: f64 = 30_000.0;
/// Tokens per second and slot of a registered engine until it is learned.
const FIRST_STEPS: f64 = 60.0;

/// What one instance knows of one engine.
#[derive(Debug, Clone)]
pub struct EngineView {
    /// Its name.
    pub id: EngineId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Its availability zone.
    pub zone: Zone,
    /// The model that it serves.
    pub model: ModelId,
    /// What it can do.
    pub rates: EngineRates,
    /// Its role as last heard.
    pub role: Role,
    /// Its incarnation as last heard.
    pub boot: Incarnation,
    /// Adapters that it holds.
    pub adapters: SmallVec<[AdapterId; 4]>,
    /// Its load.
    pub load: LoadView,
    /// Keeps requests away while it fails.
    pub breaker: Breaker,
    /// It is leaving the fleet: no new work.
    pub leaving: bool,
    /// It is emptied for an order: no new work.
    pub changing: bool,
    /// It carries out an order.
    pub away: bool,
}

impl EngineView {
    /// A view of an engine of which nothing was heard yet.
    pub fn new(id: EngineId, spec: &EngineSpec) -> Self {
        Self {
            id,
            address: spec.address,
            region: spec.region.clone(),
            zone: spec.zone.clone(),
            model: spec.model.clone(),
            rates: spec.rates,
            role: Role::default(),
            boot: Incarnation(0),
            adapters: SmallVec::new(),
            load: LoadView::default(),
            breaker: Breaker::default(),
            leaving: false,
            changing: false,
            away: false,
        }
    }

    /// A target that has registered itself, with rates that hold until they are learned.
    pub fn registered(target: &Registration) -> Self {
        let slots = target.slots.max(1);
        Self {
            id: target.id.clone(),
            address: target.address,
            region: target.region.clone(),
            zone: target.zone.clone(),
            model: target.service.clone(),
            rates: EngineRates {
                prefill: TokenRate(FIRST_PREFILL),
                decode: TokenRate(f64::from(slots) * FIRST_STEPS),
                slots,
                cache: Tokens(0),
            },
            role: target.role,
            boot: target.boot,
            adapters: SmallVec::new(),
            load: LoadView::shared(),
            breaker: Breaker::default(),
            leaving: target.leaving,
            changing: false,
            away: false,
        }
    }

    /// Whether new work may go to it.
    pub fn open(&self, now: Time) -> bool {
        !self.leaving && !self.changing && !self.away && self.breaker.allows(now)
    }

    /// Prompt tokens per second that it prefills in its role.
    pub fn prefill_rate(&self) -> f64 {
        match self.role {
            Role::Prefill => self.rates.prefill.0,
            Role::Decode if self.load.shared.is_some() => self.rates.prefill.0 * BESIDE,
            Role::Decode => self.rates.prefill.0 * MIX,
        }
    }
}
