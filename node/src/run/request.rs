use lentil_core::{
    clock::Time,
    ids::{CallerId, Fingerprint, WorkspaceId},
    manifest::ClassName,
    route::Work,
};

/// A generation that may be run.
#[derive(Debug, Clone)]
pub struct Request {
    /// What makes it the same as another.
    pub print: Fingerprint,
    /// Who asked.
    pub caller: CallerId,
    /// Whom it is accounted to.
    pub workspace: WorkspaceId,
    /// Share of that workspace.
    pub share: f64,
    /// Its class.
    pub class: ClassName,
    /// When it arrived.
    pub arrived: Time,
    /// Tokens of output at most.
    pub max: u32,
    /// What it asks of an engine.
    pub work: Work,
    /// The prompt.
    pub prompt: String,
}
