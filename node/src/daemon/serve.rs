use {
    crate::{
        app::{App, Phase, Ports},
        control, follow,
        front::Front,
        http, intake, mesh,
    },
    anyhow::{Context, Result},
    lentil_core::settings::Settings,
    std::{sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        signal::unix::{signal, SignalKind},
        sync::watch,
        time::sleep,
    },
};

/// Time for the platform's load balancer to see that the instance is no longer ready.
const READINESS_DELAY: Duration = Duration::from_secs(2);

/// Bound sockets of an instance.
///
/// They are bound before any task starts, so an address in use fails the start.
pub struct Sockets {
    /// Listener for callers.
    pub callers: TcpListener,
    /// Listener for mesh requests from other instances.
    pub requests: TcpListener,
    /// Socket for mesh datagrams to and from other instances.
    pub datagrams: UdpSocket,
}

impl Sockets {
    /// Binds the addresses in the settings and writes ports chosen by the system back to them.
    ///
    /// # Errors
    /// If an address cannot be bound; the message names it.
    pub async fn bind(settings: &mut Settings) -> Result<Self> {
        let failed = |what: &str, at| format!("cannot bind the {what} address {at}");
        let callers = TcpListener::bind(settings.listen)
            .await
            .with_context(|| failed("caller", settings.listen))?;
        settings.listen = callers.local_addr()?;
        let requests = TcpListener::bind(settings.mesh.listen)
            .await
            .with_context(|| failed("mesh", settings.mesh.listen))?;
        settings.mesh.listen = requests.local_addr()?;
        let datagrams = UdpSocket::bind(settings.mesh.listen)
            .await
            .with_context(|| failed("mesh", settings.mesh.listen))?;
        Ok(Self { callers, requests, datagrams })
    }
}

/// Serves until the process receives SIGTERM or SIGINT.
///
/// # Errors
/// If an address cannot be bound or a signal handler cannot be installed.
pub async fn serve(mut settings: Settings, ports: Ports) -> Result<()> {
    let sockets = Sockets::bind(&mut settings).await?;
    let app = Arc::new(App::new(settings, ports));
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let stop = async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    };
    run(app, sockets, stop).await;
    Ok(())
}

/// Runs an instance until `stop` completes, then drains running requests.
pub async fn run(app: Arc<App>, sockets: Sockets, stop: impl std::future::Future<Output = ()>) {
    let datagrams = Arc::new(sockets.datagrams);
    // Cannot fail: the socket is set only here.
    let _ = app.socket.set(datagrams.clone());
    let (stop_front, stopped) = watch::channel(false);
    let drain = app.settings.limits.drain.duration();
    let callers = app.connections.callers.clone();
    let front = http::serve(sockets.callers, Front::new(app.clone()), stopped, drain, callers);
    let front = tokio::spawn(front);
    let tasks = [
        tokio::spawn(intake::watch_bodies(app.clone())),
        tokio::spawn(mesh::listen_datagrams(app.clone(), datagrams)),
        tokio::spawn(mesh::listen_requests(app.clone(), sockets.requests)),
        tokio::spawn(mesh::send_heartbeats(app.clone())),
        tokio::spawn(follow::follow_manifest(app.clone())),
        tokio::spawn(follow::follow_list(app.clone())),
        tokio::spawn(follow::follow_engines(app.clone())),
        tokio::spawn(control::report_demand(app.clone())),
        tokio::spawn(control::run_controllers(app.clone())),
        tokio::spawn(follow::persist_quarantine(app.clone())),
    ];
    log::info!("daemon: instance {} listening on {}", app.identity, app.settings.listen);
    stop.await;
    log::info!("daemon: stopping");
    app.phase.send_replace(Phase::Leaving);
    sleep(READINESS_DELAY).await;
    app.phase.send_replace(Phase::Draining);
    stop_front.send_replace(true);
    let _ = front.await;
    mesh::announce_leave(&app).await;
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    log::info!("daemon: stopped");
}
