use {
    crate::{
        app::App,
        ports::RawCall,
        run::{self, Pieces, Proxied, Request},
    },
    lentil_core::{
        clock::Time,
        error::{ErrorKind, Fault},
        fleet::{BlockHashes, BlockLengths},
        ids::{Fingerprint, ModelId, Tokens},
        route::RoutingRequest,
        routes::{Route, RouteTable},
    },
    std::{sync::Arc, time::Duration},
};

/// Caller and workspace of requests that are passed on: the platform tells of neither.
const PASSED: &str = "passed-on";

/// What a caller says of a request that is passed on.
#[derive(Debug, Clone, Default)]
pub struct RequestMetadata {
    /// How long the caller waits, from the request's arrival.
    pub time_limit: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of output expected.
    pub output: Tokens,
    /// Tokens of output at most.
    pub max: u32,
    /// Names of the prompt's parts, in order.
    pub parts: BlockHashes,
    /// Their lengths.
    pub lengths: BlockLengths,
    /// The last event that the caller has, if it goes on from there.
    pub last_event: Option<u64>,
}

/// The route for a request, by the table in force.
///
/// # Errors
/// [`ErrorKind::NotReady`] before there are routes, [`ErrorKind::NoRoute`] if none fits.
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
            let text = format!("no route of {host:?} fits {path:?}");
            Err(Fault::new(ErrorKind::NoRoute, text))
        }
    }
}

/// Passes a request on to a target of its route; the pieces of the answer come as they are made.
///
/// # Errors
/// [`ErrorKind::NoTarget`] if the route has no service.
pub fn proxy(
    app: Arc<App>,
    (table, route): (Arc<RouteTable>, Arc<Route>),
    call: RawCall,
    metadata: RequestMetadata,
    arrived: Time,
) -> Result<Pieces, Fault> {
    let Some(service) = route.service(rand::random()) else {
        return Err(Fault::new(ErrorKind::NoTarget, "the route has no service"));
    };
    let model: ModelId =
        service.as_str().parse().map_err(|_| Fault::new(ErrorKind::NoTarget, "bad service"))?;
    let timeout = route.timeout.duration();
    let time_limit = metadata.time_limit.unwrap_or(timeout).min(timeout);
    let request = Request {
        fingerprint: Fingerprint::of(&[call.path.as_bytes(), &call.body]),
        caller: PASSED.parse().map_err(|_| Fault::new(ErrorKind::BadRequest, PASSED))?,
        workspace: PASSED.parse().map_err(|_| Fault::new(ErrorKind::BadRequest, PASSED))?,
        share: 1.0,
        class: route.name.clone(),
        arrived,
        max: metadata.max,
        work: RoutingRequest {
            model,
            adapter: None,
            prompt: metadata.prompt,
            output: metadata.output,
            blocks: metadata.parts,
            lengths: metadata.lengths,
            excluded: Default::default(),
            class: route.class.clone(),
            rank: route.class.rank(),
        },
        prompt: String::new(),
        proxied: Some(Proxied {
            call: Arc::new(call),
            version: table.version,
            route,
            deadline: arrived + time_limit,
            last_event: metadata.last_event,
        }),
    };
    Ok(run::start(app, request))
}
