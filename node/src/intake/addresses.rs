use {
    super::CurrentHeadLimits,
    crate::{
        app::Clock,
        http::{Connections, HeadLimits},
    },
    lentil_core::intake::IntakeShares,
    std::sync::Arc,
};

/// Connections to each address of an instance. A crowd at one of them leaves the others their share.
pub struct AddressConnections {
    /// Callers.
    pub callers: Arc<Connections>,
    /// Other instances that relay requests.
    pub relays: Arc<Connections>,
    /// Readiness probes.
    pub probes: Arc<Connections>,
    /// Scrapes of the metrics.
    pub scrapes: Arc<Connections>,
}

impl AddressConnections {
    /// Creates the limits of all addresses; those on callers' heads may change.
    pub fn new(shares: &IntakeShares, callers: Arc<CurrentHeadLimits>, clock: Clock) -> Self {
        let own = Arc::new(HeadLimits::default());
        Self {
            callers: Connections::new("callers", shares.callers, callers, clock),
            relays: Connections::new("relays", shares.relays, own.clone(), clock),
            probes: Connections::new("probes", shares.probes, own.clone(), clock),
            scrapes: Connections::new("scrapes", shares.probes, own, clock),
        }
    }

    /// Returns the connections to all addresses.
    pub fn all(&self) -> [&Arc<Connections>; 4] {
        [&self.callers, &self.relays, &self.probes, &self.scrapes]
    }
}
