use {
    super::KeyHash,
    crate::ids::{AdapterId, Alias, GroupId, Millis, ModelId, Rank, ServiceId, WorkspaceId},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Name of a request class.
pub type ClassName = crate::ids::Alias;

/// Latency objectives and priority of a request class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Latest time of the first token, counted from the request's arrival.
    pub first: Millis,
    /// Highest mean time between tokens.
    pub between: Millis,
    /// Latest end of the answer, counted from the request's arrival; a later answer has no value.
    pub deadline: Millis,
    /// Requests with a higher priority are served first.
    pub priority: u8,
}

impl ClassSpec {
    /// Returns the queueing rank of the class's requests: a higher priority gives a lower rank.
    pub fn rank(&self) -> Rank {
        Rank::new(Rank::FIRST.priority().saturating_sub(self.priority))
    }
}

/// A group of callers that share model aliases.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// Model aliases defined by the group.
    pub aliases: BTreeMap<Alias, AliasSpec>,
    /// Groups whose aliases its callers can use as well.
    #[serde(default)]
    pub includes: Vec<GroupId>,
}

/// The model, and optionally the adapter, that an alias refers to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AliasSpec {
    /// The model.
    pub model: ModelId,
    /// The adapter, if any.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
}

/// A customer to which work is accounted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Share of a contended service, relative to the shares of the other workspaces.
    pub share: f64,
}

/// A client that sends requests, with its key and permissions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSpec {
    /// Hash of the caller's bearer key.
    pub key: KeyHash,
    /// Workspace to which the caller's work is accounted.
    pub workspace: WorkspaceId,
    /// Group whose aliases the caller can use.
    #[serde(default)]
    pub group: Option<GroupId>,
    /// Models that the caller is allowed to use.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Plain services that the caller is allowed to use.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// Class of requests that do not name one.
    pub class: ClassName,
}
