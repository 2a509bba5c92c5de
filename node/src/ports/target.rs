use {
    lentil_core::{
        fleet::EngineView,
        ids::{EngineId, Incarnation, SoftwareVersion},
    },
    std::net::SocketAddr,
};

/// A target as the addressee of a request, with the incarnation that was known when it was chosen.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name of the target.
    pub id: EngineId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Its incarnation; zero if it is not known.
    pub boot: Incarnation,
    /// Version of its software, if it registered itself.
    pub software: Option<SoftwareVersion>,
}

impl Target {
    /// Creates the addressee for an engine.
    pub fn from_view(engine: &EngineView) -> Self {
        let (id, software) = (engine.id.clone(), engine.software.clone());
        Self { id, address: engine.address, boot: engine.boot, software }
    }

    /// Returns the version of the target's software for logs; empty if it is not known.
    pub fn software_text(&self) -> &str {
        self.software.as_ref().map_or("", SoftwareVersion::as_str)
    }

    /// Returns whether a report with this incarnation may come from the target's process; zero
    /// stands for an incarnation that is not known.
    pub fn may_be(&self, boot: Incarnation) -> bool {
        boot == self.boot || boot.0 == 0 || self.boot.0 == 0
    }
}
