use {
    crate::ports::RawCall,
    lentil_core::{
        clock::Time,
        ids::{CallerId, Fingerprint, Revision, WorkspaceId},
        manifest::ClassName,
        route::RoutingRequest,
        routes::Route,
    },
    std::sync::Arc,
};

/// A request that may be run.
#[derive(Debug, Clone)]
pub struct Request {
    /// What makes it the same as another.
    pub fingerprint: Fingerprint,
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
    pub work: RoutingRequest,
    /// The prompt; empty if the request is passed on.
    pub prompt: String,
    /// The request itself if it is passed on as it came.
    pub proxied: Option<Proxied>,
}

/// A request that is passed on as it came.
#[derive(Debug, Clone)]
pub struct Proxied {
    /// The request.
    pub call: Arc<RawCall>,
    /// Version of the routes in force when it arrived.
    pub version: Revision,
    /// The route that was in force when it arrived.
    pub route: Arc<Route>,
    /// When its final answer must be given.
    pub deadline: Time,
    /// The last event that the caller has, if it goes on from there.
    pub last_event: Option<u64>,
}
