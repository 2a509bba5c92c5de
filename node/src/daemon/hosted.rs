use {
    super::Sockets,
    crate::{
        app::{App, Phase},
        control, follow,
        http::{self, Body, ConnectionLimits},
        mesh,
        ports::Directory,
        queries,
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

/// Time within which the balancer has noticed that an instance is not ready: two questions, one a
/// second, and what it takes to answer them.
const NOTICED: Duration = Duration::from_millis(2_600);
/// Part of the grace period that is kept for the last steps of a stop.
const LAST: Duration = Duration::from_millis(500);

/// Sockets of a hosted instance.
pub struct HostedSockets {
    /// Callers and mesh.
    pub own: Sockets,
    /// The balancer's questions.
    pub ready: TcpListener,
    /// Readers of metrics.
    pub metrics: TcpListener,
}

/// Serves on a platform until `stop`, then lets running requests end.
pub async fn run_hosted<S>(
    app: Arc<App>,
    sockets: HostedSockets,
    directory: Arc<dyn Directory>,
    front: S,
    limits: ConnectionLimits,
    stop: impl Future<Output = ()>,
) where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Future<Output = Result<Response<Body>, Infallible>> + Send,
{
    let datagrams = Arc::new(sockets.own.datagrams);
    // Set once, here.
    let _ = app.socket.set(datagrams.clone());
    let grace = app.settings.hosted.as_ref().map_or(0.0, |h| h.grace);
    let end = Duration::from_secs_f64(grace).saturating_sub(LAST);
    let (stop_front, stopped) = watch::channel(false);
    let (_never, running) = watch::channel(false);
    let served = http::serve(sockets.own.callers, front, stopped, end, limits);
    let served = tokio::spawn(served);
    let probes = probes(app.clone());
    let tasks = [
        tokio::spawn(http::serve(sockets.ready, probes.clone(), running.clone(), end, limits)),
        tokio::spawn(http::serve(sockets.metrics, probes, running, end, limits)),
        tokio::spawn(mesh::listen_datagrams(app.clone(), datagrams)),
        tokio::spawn(mesh::listen_requests(app.clone(), sockets.own.requests)),
        tokio::spawn(mesh::send_heartbeats(app.clone())),
        tokio::spawn(mesh::report_in_flight(app.clone())),
        tokio::spawn(follow::follow_list(app.clone())),
        tokio::spawn(follow::follow_targets(app.clone(), directory.clone())),
        tokio::spawn(follow::follow_routes(app.clone(), directory)),
        tokio::spawn(control::run_controllers(app.clone())),
    ];
    log::info!("daemon: start instance={} listen={}", app.me, app.settings.listen);
    stop.await;
    log::info!("daemon: stop begins");
    app.phase.send_replace(Phase::Leaving);
    let begun = app.now();
    sleep(NOTICED.min(end)).await;
    stop_front.send_replace(true);
    let left = end.saturating_sub(app.now() - begun);
    let cut = timeout(left, served).await.is_err();
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
        // The balancer's path differs between platforms, its last part does not.
        let path = if path.ends_with("/readyz") { "/readyz" } else { path };
        let answer =
            queries::probe(&app, path).unwrap_or_else(|| crate::front::text_response(404, ""));
        std::future::ready(Ok(answer))
    })
}
