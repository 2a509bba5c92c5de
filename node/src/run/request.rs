use {
    crate::{intake::HeldMemory, ports::ProxyRequest},
    lentil_core::{
        clock::Time,
        ids::{CallerId, Fingerprint, InstanceId, PrefixHash, Revision, WorkspaceId},
        manifest::ClassName,
        route::RoutingRequest,
        routes::Route,
    },
    std::sync::Arc,
};

/// A request to be run on engines.
#[derive(Debug, Clone)]
pub struct RunRequest {
    /// Hash of workspace, service and content, equal for requests of one workspace that ask for the
    /// same work.
    pub fingerprint: Fingerprint,
    /// The caller that sent it.
    pub caller: CallerId,
    /// The workspace whose share it is charged to; `None` if its caller is not identified.
    pub workspace: Option<WorkspaceId>,
    /// That workspace's share of the engines.
    pub share: f64,
    /// Name of its class, for logs and metrics.
    pub class: ClassName,
    /// When it arrived at this instance; its objectives count from here.
    pub arrived: Time,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Model, prompt size and objectives, by which engines are chosen.
    pub routing: RoutingRequest,
    /// Memory taken for the prompt.
    pub held: Option<Arc<HeldMemory>>,
    /// The prompt; empty for a proxied request.
    pub prompt: String,
    /// The original HTTP request, if it is forwarded unchanged.
    pub proxied: Option<Proxied>,
    /// The instance that relays it, if its caller sent it to another one.
    pub relayed: Option<RelayedFrom>,
}

/// The instance that relays a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedFrom {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Times that it has sent the request to targets itself.
    pub sends: u32,
}

/// Most parts of a prompt that are looked at when a target has crashed.
const MAX_SHARED_PARTS: usize = 16;

impl RunRequest {
    /// Returns whether the answer is a stream of tokens or events.
    pub fn streams(&self) -> bool {
        self.proxied.as_ref().is_none_or(|p| p.route.streams)
    }

    /// Returns the parts of the prompt that other requests may have too: all but the last one.
    pub fn shared_parts(&self) -> &[PrefixHash] {
        let parts = self.routing.blocks.split_last().map_or(&[][..], |(_, shared)| shared);
        &parts[..parts.len().min(MAX_SHARED_PARTS)]
    }
}

/// An HTTP request that is forwarded to a target unchanged.
#[derive(Debug, Clone)]
pub struct Proxied {
    /// The request as it is forwarded.
    pub request: Arc<ProxyRequest>,
    /// Version of the route table that was active when it arrived.
    pub version: Revision,
    /// The matching route of that table.
    pub route: Arc<Route>,
    /// When the answer must be complete.
    pub deadline: Time,
    /// Last event that the caller received, if it resumes a stream after that one.
    pub last_event: Option<u64>,
    /// Id of the request that brought the caller the stream's first event, if it resumes one.
    pub resumes: Option<String>,
}
