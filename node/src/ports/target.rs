use {
    lentil_core::{
        fleet::EngineView,
        ids::{EngineId, Incarnation, InstanceId, SoftwareVersion},
        reach::Relay,
    },
    std::net::SocketAddr,
};

/// What an addressee is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetKind {
    /// An engine, or a target of a plain service.
    Server,
    /// Another instance, which relays the request to a target that it reaches.
    Instance(InstanceId),
}

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
    /// What it is.
    pub kind: TargetKind,
}

impl Target {
    /// Creates the addressee for an engine.
    pub fn from_view(engine: &EngineView) -> Self {
        let (id, software) = (engine.id.clone(), engine.software.clone());
        Self { id, address: engine.address, boot: engine.boot, software, kind: TargetKind::Server }
    }

    /// Creates the addressee for another instance.
    pub fn from_relay(relay: &Relay) -> Self {
        let id = relay.id.as_str().parse().expect("an instance's name is a valid name");
        let kind = TargetKind::Instance(relay.id.clone());
        Self { id, address: relay.address, boot: Incarnation(0), software: None, kind }
    }

    /// Returns the name of the instance if it is one.
    pub fn instance(&self) -> Option<&InstanceId> {
        match &self.kind {
            TargetKind::Server => None,
            TargetKind::Instance(id) => Some(id),
        }
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
