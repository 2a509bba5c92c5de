use {
    super::Body,
    hyper::{body::Incoming, Request, Response},
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        service::TowerToHyperService,
    },
    std::{convert::Infallible, future::Future, time::Duration},
    tokio::{
        net::TcpListener,
        sync::watch,
        task::JoinSet,
        time::{sleep, timeout},
    },
    tower::Service,
};

/// Pause after a connection could not be accepted, as when file descriptors have run out.
const PAUSE: Duration = Duration::from_millis(50);

/// What callers may do on a connection.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Size of a request's head, in bytes.
    pub head: usize,
    /// Time until a request's head is there, idle time included.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        // A minute is longer than callers keep a connection that they do not use.
        Self { head: 64 << 10, idle: Duration::from_secs(60) }
    }
}

/// Serves connections until `stop` turns true, then lets running requests end within `drain`.
pub async fn serve<S>(
    listener: TcpListener,
    service: S,
    mut stop: watch::Receiver<bool>,
    drain: Duration,
    limits: Limits,
) where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Future<Output = Result<Response<Body>, Infallible>> + Send,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|s| *s) => break,
            Some(_) = connections.join_next(), if !connections.is_empty() => continue,
        };
        let Ok((stream, _)) = accepted else {
            sleep(PAUSE).await;
            continue;
        };
        // Without it small chunks of a stream wait for acknowledgements.
        let _ = stream.set_nodelay(true);
        let (service, mut stop) = (TowerToHyperService::new(service.clone()), stop.clone());
        connections.spawn(async move {
            let mut serving = std::pin::pin!(hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(limits.idle)
                .max_buf_size(limits.head)
                .serve_connection(TokioIo::new(stream), service));
            let stopped = tokio::select! {
                _ = serving.as_mut() => false,
                _ = stop.wait_for(|s| *s) => true,
            };
            if stopped {
                serving.as_mut().graceful_shutdown();
                let _ = serving.await;
            }
        });
    }
    drop(listener);
    let ended = async { while connections.join_next().await.is_some() {} };
    let _ = timeout(drain, ended).await;
}
