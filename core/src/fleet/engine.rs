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
pub const MAX_MIXED_PREFILL_SHARE: f64 = 0.3;

/// Part of the prefill rate that a registered engine has while it decodes.
const PREFILL_SHARE_WHILE_DECODING: f64 = 0.5;
/// Prompt tokens per second of a registered engine until it is learned; a common accelerator's.
const INITIAL_PREFILL_TOKENS_PER_S: f64 = 30_000.0;
/// Tokens per second and slot of a registered engine until it is learned.
const INITIAL_SLOT_TOKENS_PER_S: f64 = 60.0;

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
    pub draining: bool,
    /// It carries out an order.
    pub unavailable: bool,
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
            draining: false,
            unavailable: false,
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
                prefill: TokenRate(INITIAL_PREFILL_TOKENS_PER_S),
                decode: TokenRate(f64::from(slots) * INITIAL_SLOT_TOKENS_PER_S),
                slots,
                cache: Tokens(0),
            },
            role: target.role,
            boot: target.boot,
            adapters: SmallVec::new(),
            load: LoadView::from_in_flight(),
            breaker: Breaker::default(),
            leaving: target.leaving,
            draining: false,
            unavailable: false,
        }
    }

    /// Whether new work may go to it.
    pub fn accepts_work(&self, now: Time) -> bool {
        !self.leaving && !self.draining && !self.unavailable && self.breaker.allows(now)
    }

    /// Prompt tokens per second that it prefills in its role.
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
