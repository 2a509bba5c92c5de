use {
    crate::{
        ids::{EngineId, Incarnation, Millis, ModelId, Region, Revision, SoftwareVersion, Zone},
        manifest::Role,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Entry of a target in the platform's directory, as the target registered it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Name of the target; a restarted target may use it again.
    pub id: EngineId,
    /// Incarnation of its process.
    pub boot: Incarnation,
    /// Service to which it belongs.
    pub service: ModelId,
    /// Address at which it accepts requests; another target may use the address later.
    pub address: SocketAddr,
    /// Region in which it runs.
    pub region: Region,
    /// Availability zone in which it runs.
    pub zone: Zone,
    /// Role in which it serves; targets of plain services have the decode role.
    pub role: Role,
    /// Number of requests that it can run at the same time.
    pub slots: u32,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// True if it is about to leave the fleet.
    pub leaving: bool,
    /// Version of its model weights; `None` if it has none.
    pub weights: Option<u64>,
    /// Whether the platform may reclaim it; `None` if another instance reported it. Instances of
    /// earlier versions exchange registrations too, so the encoding between instances omits it.
    #[serde(skip)]
    pub spot: Option<bool>,
    /// Time until it is reclaimed, as of the registration; not known from other instances either.
    #[serde(skip)]
    pub leaves: Option<Millis>,
}

/// One change to the platform's directory of targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetChange {
    /// The target was added, or its entry has changed.
    Present(Registration),
    /// The entry was removed, or names no usable target.
    Gone(EngineId),
}

/// Changes to the directory between two of its revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetBatch {
    /// Revision before the changes.
    pub from: Revision,
    /// Revision after the changes.
    pub to: Revision,
    /// The changes, oldest first.
    pub changes: Vec<TargetChange>,
}
