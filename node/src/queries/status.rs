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

/// State of the system as one instance sees it, answered at `/status` to operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The instance that answers.
    pub instance: InstanceId,
    /// Whether it accepts requests of callers.
    pub ready: bool,
    /// Revision of the active manifest.
    pub revision: Revision,
    /// The other instances, as the failure detector sees them.
    pub members: Vec<MemberStatus>,
    /// The engines that this instance knows of.
    pub engines: Vec<EngineStatus>,
}

/// State of another instance, by the failure detector.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Whether it is alive, suspected, dead or has left.
    pub state: MemberState,
}

/// State of an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Id of the engine.
    pub engine: EngineId,
    /// Its role, prefill or decode.
    pub role: Role,
    /// Whether it accepts new requests.
    pub open: bool,
    /// Whether it is paused for an order.
    pub changing: bool,
    /// Whether it is about to leave the fleet.
    pub leaving: bool,
    /// Its load as expected at the time of the answer.
    pub load: Load,
}

/// Returns the current state as this instance sees it.
pub fn status(app: &App) -> Status {
    let now = app.now();
    let members = app
        .member_view()
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
        instance: app.identity.instance.clone(),
        ready: app.ready(),
        revision: app.revision(),
        members,
        engines,
    }
}
