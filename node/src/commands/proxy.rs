use {
    crate::{
        app::App,
        ports::ProxyRequest,
        run::{self, Pieces, Proxied, RunRequest},
    },
    lentil_core::{
        clock::Time,
        error::{ErrorKind, Fault},
        fleet::{BlockHashes, BlockLengths},
        ids::{CallerId, ModelId, Tokens},
        route::RoutingRequest,
        routes::{Route, RouteTable, Workspace},
    },
    std::{sync::Arc, time::Duration},
};

/// Caller of all proxied requests: the platform names only workspaces.
const PROXIED_CALLER: &str = "passed-on";

/// Returns the caller of proxied requests.
pub(super) fn proxied_caller() -> Result<CallerId, Fault> {
    PROXIED_CALLER.parse().map_err(|_| Fault::new(ErrorKind::BadRequest, "invalid caller name"))
}

/// What the caller states about a proxied request.
#[derive(Debug, Clone, Default)]
pub struct RequestMetadata {
    /// How long the caller waits for the answer, from the request's arrival.
    pub timeout: Option<Duration>,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Expected length of the output.
    pub output: Tokens,
    /// Maximum number of output tokens.
    pub max: u32,
    /// Hashes of the prompt's blocks, in order.
    pub blocks: BlockHashes,
    /// Lengths of these blocks, in tokens.
    pub lengths: BlockLengths,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Id of the request that brought the caller the stream's first event, if it resumes one.
    pub resumes: Option<String>,
}

/// Returns the route for a request, with the active table that contains it.
///
/// # Errors
/// [`ErrorKind::NotReady`] before the first table is loaded, [`ErrorKind::NoRoute`] if no route
/// matches.
pub fn find_route(
    app: &App,
    host: &str,
    path: &str,
) -> Result<(Arc<RouteTable>, Arc<Route>), Fault> {
    let table = app.routes()?;
    let path = path.split('?').next().unwrap_or(path);
    match table.route(host, path).cloned() {
        Some(route) => Ok((table, route)),
        None => {
            let text = format!("no route of host {host:?} matches path {path:?}");
            Err(Fault::new(ErrorKind::NoRoute, text))
        }
    }
}

/// Forwards a request to a target of its route and returns the pieces of the answer as they arrive.
/// The rank of its `workspace` comes before that of the route.
///
/// # Errors
/// [`ErrorKind::NoTarget`] if the route has no service, or one that is not a valid model name.
pub fn proxy(
    app: Arc<App>,
    (table, route): (Arc<RouteTable>, Arc<Route>),
    request: ProxyRequest,
    metadata: RequestMetadata,
    workspace: Option<Arc<Workspace>>,
    arrived: Time,
) -> Result<Pieces, Fault> {
    let Some(service) = route.service(rand::random()) else {
        return Err(Fault::new(ErrorKind::NoTarget, "the route has no service"));
    };
    let model: ModelId = service.as_str().parse().map_err(|_| {
        Fault::new(ErrorKind::NoTarget, "the service's name is not a valid model name")
    })?;
    let timeout = route.timeout.duration();
    let timeout = metadata.timeout.map_or(timeout, |t| t.min(timeout));
    let mut class = route.class.clone();
    if let Some(rank) = workspace.as_ref().and_then(|w| w.rank) {
        class.priority = rank.priority();
    }
    let workspace = workspace.map(|w| w.id.clone());
    let run_request = RunRequest {
        fingerprint: request.fingerprint(workspace.as_ref(), &model),
        caller: proxied_caller()?,
        workspace,
        share: 1.0,
        class: route.name.clone(),
        arrived,
        max_tokens: metadata.max,
        routing: RoutingRequest {
            model,
            adapter: None,
            prompt: metadata.prompt,
            output: metadata.output,
            blocks: metadata.blocks,
            lengths: metadata.lengths,
            resumable: route.resumable,
            software: None,
            excluded: Default::default(),
            rank: class.rank(),
            class,
        },
        held: None,
        prompt: String::new(),
        proxied: Some(Proxied {
            request: Arc::new(request),
            version: table.version,
            route,
            deadline: arrived + timeout,
            last_event: metadata.last_event,
            resumes: metadata.resumes,
        }),
        relayed: None,
    };
    Ok(run::start(app, run_request))
}
