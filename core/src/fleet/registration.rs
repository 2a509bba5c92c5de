use {
    crate::{
        ids::{EngineId, Incarnation, ModelId, Region, Revision, Zone},
        manifest::Role,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What a target says of itself in the platform's directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Its name; another start may bear it again.
    pub id: EngineId,
    /// Its start.
    pub boot: Incarnation,
    /// The service that it belongs to.
    pub service: ModelId,
    /// Where it listens; another target may have the address later.
    pub address: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Its availability zone.
    pub zone: Zone,
    /// What it is set to do; plain targets do what decoding engines do.
    pub role: Role,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to go.
    pub leaving: bool,
    /// Version of its weights, if it has any.
    pub weights: Option<u64>,
}

/// One change among the targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetChange {
    /// A target is there as it says now.
    Present(Registration),
    /// The entry is gone, or names no target that can be used.
    Gone(EngineId),
}

/// Changes among the targets after one revision of the directory and up to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetBatch {
    /// The revision before them.
    pub from: Revision,
    /// The revision with them.
    pub to: Revision,
    /// In the order in which they happened.
    pub changes: Vec<TargetChange>,
}
