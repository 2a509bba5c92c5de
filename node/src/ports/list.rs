use {
    futures_util::future::BoxFuture,
    lentil_core::{
        ids::{Region, Zone},
        mesh::Announcement,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    thiserror::Error,
};

/// The error returned when the instance list can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the instance list is unavailable: {0}")]
pub struct ListError(pub String);

/// Kind of a listed instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListKind {
    /// An instance that runs lentilgrade.
    Entry,
    /// A model engine.
    Engine,
    /// A back end of a plain service.
    Target,
}

/// Lifecycle state of a listed instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListState {
    /// Running.
    Live,
    /// About to stop; must receive no new work.
    Leaving,
    /// Stopped or lost.
    Gone,
}

/// An instance as it appears in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Id of the instance, engine or target.
    pub id: String,
    /// Whether it runs lentilgrade, an engine or a plain service's target.
    pub kind: ListKind,
    /// Whether it runs, is about to stop, or has stopped.
    pub state: ListState,
    /// Address on which it listens; for instances that run lentilgrade, their mesh address.
    pub address: SocketAddr,
    /// Region in which it runs.
    pub region: Region,
    /// Availability zone in which it runs.
    pub zone: Zone,
    /// What an instance that runs lentilgrade announced about its build.
    #[serde(default)]
    pub announced: Option<Announcement>,
}

/// Changes of the list since an earlier version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChanges {
    /// Version of the list after the changes.
    pub version: u64,
    /// Changed instances in their current state.
    pub changed: Vec<ListedInstance>,
    /// Ids of instances whose entries are gone. This does not prove that their processes are.
    #[serde(default)]
    pub removed: Vec<String>,
    /// Whether `changed` is the whole list.
    #[serde(default)]
    pub complete: bool,
}

/// Client for the platform's instance list, which may lag behind the actual instances.
pub trait InstanceList: Send + Sync {
    /// Reads the changes since `version`; version 0 returns the whole list.
    fn changes(&self, version: u64) -> BoxFuture<'_, Result<ListChanges, ListError>>;
}
