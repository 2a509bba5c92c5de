use {
    super::{
        parse_json, CallerSpec, ClassName, ClassSpec, EngineSpec, GroupSpec, ModelSpec, Problem,
        ServiceSpec, WorkspaceSpec,
    },
    crate::ids::{CallerId, EngineId, GroupId, ModelId, ServiceId, WorkspaceId},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Everything that operators decide about a deployment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Name of the deployment, for people.
    pub deployment: String,
    /// How much a role change counts against the goodput it wins.
    #[serde(default)]
    pub weight: ChangeWeight,
    /// Models that are served.
    pub models: BTreeMap<ModelId, ModelSpec>,
    /// Engines of the fleet.
    pub engines: BTreeMap<EngineId, EngineSpec>,
    /// Plain services.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Request classes with their targets.
    pub classes: BTreeMap<ClassName, ClassSpec>,
    /// Groups of callers that share aliases.
    #[serde(default)]
    pub groups: BTreeMap<GroupId, GroupSpec>,
    /// Workspaces with their shares.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceSpec>,
    /// Callers and what they may reach.
    pub callers: BTreeMap<CallerId, CallerSpec>,
}

/// Weight of one role change: seconds of one engine's capacity that it must win back beyond its
/// own cost before it is made.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeWeight(pub f64);

impl Default for ChangeWeight {
    fn default() -> Self {
        Self(5.0)
    }
}

impl Manifest {
    /// Reads a manifest and checks it.
    ///
    /// # Errors
    /// The first fault of form with its JSON path, or every fault of content.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let manifest: Self = parse_json(text).map_err(|p| vec![p])?;
        let problems = manifest.check();
        if problems.is_empty() {
            return Ok(manifest);
        }
        Err(problems)
    }
}
