use {
    crate::app::App,
    lentil_core::{
        fleet::Load,
        ids::{EngineId, InstanceId, Revision},
        manifest::Role,
        mesh::{Announcement, MemberState, VersionRange},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
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
    /// The builds of all instances that this one knows of, itself included, by id. Empty in answers
    /// of builds before 0.2.0.
    #[serde(default)]
    pub builds: Vec<BuildStatus>,
    /// What callers make it hold. Empty in answers of earlier builds.
    #[serde(default)]
    pub intake: Vec<IntakeStatus>,
}

/// Use of a limit on what callers make an instance hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntakeStatus {
    /// What is limited: `bodies`, or the connections to one address.
    pub kind: String,
    /// Number of arriving bodies, or of connections.
    pub count: usize,
    /// Bytes held.
    pub bytes: usize,
    /// Most bytes that may be held.
    pub limit: usize,
}

/// The build that an instance runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BuildStatus {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Its state by the failure detector; `None` if it is not a member of the view.
    pub state: Option<MemberState>,
    /// Package version of the build, if it was announced.
    pub build: Option<String>,
    /// Versions of the protocol between instances that the build announced.
    pub versions: Option<VersionRange>,
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
        builds: builds(app),
        intake: intake(app),
    }
}

fn intake(app: &App) -> Vec<IntakeStatus> {
    let bodies = app.memory.usage();
    let bodies = IntakeStatus {
        kind: "bodies".into(),
        count: bodies.bodies,
        bytes: bodies.used,
        limit: bodies.capacity,
    };
    let addresses = app.connections.all().map(|connections| {
        let usage = connections.usage();
        IntakeStatus {
            kind: connections.name().into(),
            count: usage.counts.iter().sum(),
            bytes: usage.bytes,
            limit: usage.max_bytes,
        }
    });
    std::iter::once(bodies).chain(addresses).collect()
}

/// Returns the builds of this instance, of the members of its view and of those that have announced
/// one. An announcement of an earlier incarnation than the member's is not the member's.
fn builds(app: &App) -> Vec<BuildStatus> {
    let mut announced: BTreeMap<InstanceId, Announcement> =
        app.peer_versions.all().into_iter().collect();
    let mut members: BTreeMap<InstanceId, Option<MemberState>> =
        announced.keys().map(|id| (id.clone(), None)).collect();
    let view = app.member_view();
    for member in view.members() {
        let id = &member.info.id;
        members.insert(id.clone(), Some(member.state));
        if announced.get(id).is_some_and(|a| a.start < member.info.start) {
            announced.remove(id);
        }
    }
    members.insert(app.identity.instance.clone(), Some(MemberState::Alive));
    announced.insert(app.identity.instance.clone(), app.announcement());
    let build = |(instance, state)| {
        let found = announced.remove(&instance);
        let versions = found.as_ref().map(|a| a.versions);
        BuildStatus { instance, state, build: found.and_then(|a| a.build), versions }
    };
    members.into_iter().map(build).collect()
}
