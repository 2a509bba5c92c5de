use {
    futures_util::future::BoxFuture,
    lentil_core::ids::{Region, Zone},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    thiserror::Error,
};

/// The platform's list was not read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the instance list is not available: {0}")]
pub struct ListError(pub String);

/// What an instance in the list is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListKind {
    /// An entry instance.
    Entry,
    /// An engine.
    Engine,
    /// A back end of a plain service.
    Target,
}

/// Whether an instance in the list lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListState {
    /// It lives.
    Live,
    /// It will go; no new work.
    Leaving,
    /// It is gone.
    Gone,
}

/// One instance in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub id: String,
    /// What it is.
    pub kind: ListKind,
    /// Whether it lives.
    pub state: ListState,
    /// Where it listens; for entry instances, the mesh.
    pub address: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Its availability zone.
    pub zone: Zone,
}

/// Changes of the list since a version of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChanges {
    /// Version of the list after the changes.
    pub version: u64,
    /// Instances that changed, with their state now.
    pub changed: Vec<Listed>,
}

/// The platform's lagging list of instances.
pub trait InstanceList: Send + Sync {
    /// Reads what changed since `version`; zero stands for the whole list.
    fn changes(&self, version: u64) -> BoxFuture<'_, Result<ListChanges, ListError>>;
}
