use {
    super::Sockets,
    crate::{
        app::{App, Phase},
        control, follow,
        http::{self, Body},
        intake, mesh,
        ports::Directory,
        queries, reach,
        relay::serve_relayed,
        usage,
    },
    hyper::{body::Incoming, Request, Response},
    std::{convert::Infallible, future::Future, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::watch,
        time::{sleep, timeout},
    },
    tower::Service,
};

/// Time until the load balancer has seen that an instance is not ready: two probes, one per second,
/// plus the time to answer them.
const READINESS_DELAY: Duration = Duration::from_millis(2_600);
/// Part of the grace period reserved for the last steps of a shutdown.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(500);

/// Bound sockets of a hosted instance.
pub struct HostedSockets {
    /// Sockets for callers and the mesh.
    pub base: Sockets,
    /// Listener for the load balancer's readiness probes.
    pub ready: TcpListener,
    /// Listener for metrics scrapes.
    pub metrics: TcpListener,
    /// Listener for requests that other instances relay, if there is an address for it.
    pub relay: Option<TcpListener>,
}

/// Serves on a platform until `stop` completes, then drains running requests.
///
/// The platform's `directory` supplies targets and routes, and `front` answers callers. Requests
/// still running near the end of the grace period are cut off.
pub async fn run_hosted<S>(
    app: Arc<App>,
    sockets: HostedSockets,
    directory: Arc<dyn Directory>,
    front: S,
    stop: impl Future<Output = ()>,
) where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Future<Output = Result<Response<Body>, Infallible>> + Send,
{
    let datagrams = Arc::new(sockets.base.datagrams);
    // Cannot fail: the socket is set only here.
    let _ = app.socket.set(datagrams.clone());
    let grace = app.settings.hosted.as_ref().map_or(0.0, |h| h.grace);
    let drain_limit = Duration::from_secs_f64(grace).saturating_sub(SHUTDOWN_RESERVE);
    let (stop_front, stopped) = watch::channel(false);
    // Probes and metrics are served until their tasks are aborted.
    let (_never, running) = watch::channel(false);
    let relay_app = app.clone();
    let relay = tower::service_fn(move |request| serve_relayed(relay_app.clone(), request));
    let relayed = sockets.relay.map(|listener| {
        let limits = app.connections.relays.clone();
        tokio::spawn(http::serve(listener, relay, stopped.clone(), drain_limit, limits))
    });
    let limits = app.connections.callers.clone();
    let served = http::serve(sockets.base.callers, front, stopped, drain_limit, limits);
    let served = tokio::spawn(async move {
        let _ = served.await;
        if let Some(relayed) = relayed {
            let _ = relayed.await;
        }
    });
    let probes = probes(app.clone());
    let tasks = [
        tokio::spawn(intake::watch_bodies(app.clone())),
        tokio::spawn(http::serve(
            sockets.ready,
            probes.clone(),
            running.clone(),
            drain_limit,
            app.connections.probes.clone(),
        )),
        tokio::spawn(http::serve(
            sockets.metrics,
            probes,
            running,
            drain_limit,
            app.connections.scrapes.clone(),
        )),
        tokio::spawn(mesh::listen_datagrams(app.clone(), datagrams)),
        tokio::spawn(mesh::listen_requests(app.clone(), sockets.base.requests)),
        tokio::spawn(mesh::send_heartbeats(app.clone())),
        tokio::spawn(mesh::report_in_flight(app.clone())),
        tokio::spawn(mesh::announce_limits(app.clone())),
        tokio::spawn(mesh::share_stream_origins(app.clone())),
        tokio::spawn(mesh::report_workspace_use(app.clone())),
        tokio::spawn(mesh::compare_routes(app.clone())),
        tokio::spawn(reach::watch_reach(app.clone())),
        tokio::spawn(follow::follow_list(app.clone())),
        tokio::spawn(follow::follow_targets(app.clone(), directory.clone())),
        tokio::spawn(follow::follow_routes(app.clone(), directory)),
        tokio::spawn(control::run_controllers(app.clone())),
        tokio::spawn(usage::run_usage_reports(app.clone())),
        tokio::spawn(follow::persist_quarantine(app.clone())),
        tokio::spawn(follow::persist_software(app.clone())),
    ];
    log::info!("daemon: start instance={} listen={}", app.identity, app.settings.listen);
    stop.await;
    log::info!("daemon: stop begins");
    app.phase.send_replace(Phase::Leaving);
    let stop_began = app.now();
    sleep(READINESS_DELAY.min(drain_limit)).await;
    stop_front.send_replace(true);
    let remaining = drain_limit.saturating_sub(app.now() - stop_began);
    let cut = timeout(remaining, served).await.is_err();
    mesh::hand_over_streams(&app).await;
    usage::send_counts(&app).await;
    mesh::announce_leave(&app).await;
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    log::info!("daemon: stop ends cut={cut}");
}

fn probes(
    app: Arc<App>,
) -> impl Service<
    Request<Incoming>,
    Response = Response<Body>,
    Error = Infallible,
    Future = std::future::Ready<Result<Response<Body>, Infallible>>,
> + Clone
       + Send
       + 'static {
    tower::service_fn(move |request: Request<Incoming>| {
        let path = request.uri().path();
        // Platforms probe readiness under different paths that all end in `/readyz`.
        let path = if path.ends_with("/readyz") { "/readyz" } else { path };
        let answer =
            queries::probe(&app, path).unwrap_or_else(|| crate::front::text_response(404, ""));
        std::future::ready(Ok(answer))
    })
}
