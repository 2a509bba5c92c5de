use {
    super::KeyHash,
    crate::ids::{AdapterId, Alias, GroupId, Millis, ModelId, Rank, ServiceId, WorkspaceId},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Name of a request class.
pub type ClassName = crate::ids::Alias;

/// Targets of a request class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Latest first token after arrival.
    pub first: Millis,
    /// Longest mean time between tokens.
    pub between: Millis,
    /// Latest end after arrival; an answer that ends later is worthless.
    pub deadline: Millis,
    /// Served before classes of a lower priority.
    pub priority: u8,
}

impl ClassSpec {
    /// The rank of its requests.
    pub fn rank(&self) -> Rank {
        Rank::new(Rank::FIRST.priority().saturating_sub(self.priority))
    }
}

/// A group of callers that share aliases.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// Names that the group uses for models.
    pub aliases: BTreeMap<Alias, AliasSpec>,
    /// Groups whose aliases are valid here too.
    #[serde(default)]
    pub includes: Vec<GroupId>,
}

/// What an alias stands for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AliasSpec {
    /// The model.
    pub model: ModelId,
    /// The adapter, if any.
    #[serde(default)]
    pub adapter: Option<AdapterId>,
}

/// A customer that work is accounted to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Share of a contended service, relative to the other workspaces'.
    pub share: f64,
}

/// Someone who sends requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSpec {
    /// Hash of its bearer key.
    pub key: KeyHash,
    /// Workspace that its work is accounted to.
    pub workspace: WorkspaceId,
    /// Group whose aliases it uses.
    #[serde(default)]
    pub group: Option<GroupId>,
    /// Models that it may reach.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Services that it may reach.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// Class of its requests where they name none.
    pub class: ClassName,
}
