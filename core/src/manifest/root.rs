use {
    super::{
        parse_json, CallerSpec, ClassName, ClassSpec, EngineSpec, GroupSpec, ModelSpec, Problem,
        ServiceSpec, WorkspaceSpec,
    },
    crate::ids::{CallerId, EngineId, GroupId, ModelId, ServiceId, WorkspaceId},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The operator's manifest: the desired configuration of a deployment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Descriptive name of the deployment.
    pub deployment: String,
    /// Weight of a role change against the goodput that it gains.
    #[serde(default)]
    pub weight: ChangeWeight,
    /// Models that engines serve.
    pub models: BTreeMap<ModelId, ModelSpec>,
    /// Model engines in the fleet.
    pub engines: BTreeMap<EngineId, EngineSpec>,
    /// Plain services.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Request classes with their latency objectives.
    pub classes: BTreeMap<ClassName, ClassSpec>,
    /// Groups of callers that share model aliases.
    #[serde(default)]
    pub groups: BTreeMap<GroupId, GroupSpec>,
    /// Workspaces and their shares.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceSpec>,
    /// Callers and their permissions.
    pub callers: BTreeMap<CallerId, CallerSpec>,
}

/// Weight of a role change, in seconds of one engine's capacity: the gain that a change must bring
/// beyond its own cost before it is made.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeWeight(pub f64);

impl Default for ChangeWeight {
    fn default() -> Self {
        Self(5.0)
    }
}

impl Manifest {
    /// Parses and validates a manifest.
    ///
    /// # Errors
    /// Returns the first syntax or type error with its JSON path, or all problems found by
    /// [`Manifest::check`].
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let manifest: Self = parse_json(text).map_err(|p| vec![p])?;
        let problems = manifest.check();
        if problems.is_empty() {
            return Ok(manifest);
        }
        Err(problems)
    }
}
