use {
    crate::app::App,
    lentil_core::{
        fleet::Load,
        ids::{EngineId, InstanceId, Revision},
        manifest::Role,
        mesh::MemberState,
    },
    serde::{Deserialize, Serialize},
};

/// What one instance knows, for operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The instance.
    pub instance: InstanceId,
    /// Whether it is ready for callers.
    pub ready: bool,
    /// Revision of the manifest in force.
    pub revision: Revision,
    /// Other instances.
    pub members: Vec<MemberStatus>,
    /// Engines.
    pub engines: Vec<EngineStatus>,
}

/// What is believed of another instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The instance.
    pub instance: InstanceId,
    /// Its state.
    pub state: MemberState,
}

/// What is known of an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine.
    pub engine: EngineId,
    /// Its role.
    pub role: Role,
    /// Whether new work goes to it.
    pub open: bool,
    /// Whether it is emptied for an order or carries one out.
    pub changing: bool,
    /// Whether it leaves the fleet.
    pub leaving: bool,
    /// Its load as expected now.
    pub load: Load,
}

/// What this instance knows now.
pub fn status(app: &App) -> Status {
    let now = app.now();
    let members = app
        .view()
        .members()
        .map(|m| MemberStatus { instance: m.info.id.clone(), state: m.state })
        .collect();
    let engines = app
        .fleet()
        .engines
        .iter()
        .map(|e| EngineStatus {
            engine: e.id.clone(),
            role: e.role,
            open: e.accepts_work(now),
            changing: e.draining,
            leaving: e.leaving,
            load: e.load.expected(e.prefill_rate(), 1, now),
        })
        .collect();
    Status {
        instance: app.me.instance.clone(),
        ready: app.ready(),
        revision: app.revision(),
        members,
        engines,
    }
}
