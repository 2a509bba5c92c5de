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

/// Delay after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits on a caller's connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum time until a request head is received, including the idle time before it.
    pub idle: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        // Callers close unused connections in less than a minute.
        Self { head: 64 << 10, idle: Duration::from_secs(60) }
    }
}

/// Serves connections until `stop` becomes true, then waits up to `drain` for running requests to
/// finish.
pub async fn serve<S>(
    listener: TcpListener,
    service: S,
    mut stop: watch::Receiver<bool>,
    drain: Duration,
    limits: ConnectionLimits,
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
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Nagle's algorithm would delay small chunks of a stream until earlier ones are
        // acknowledged.
        let _ = stream.set_nodelay(true);
        let (service, mut stop) = (TowerToHyperService::new(service.clone()), stop.clone());
        connections.spawn(async move {
            let mut connection = std::pin::pin!(hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(limits.idle)
                .max_buf_size(limits.head)
                .serve_connection(TokioIo::new(stream), service));
            let stopped = tokio::select! {
                _ = connection.as_mut() => false,
                _ = stop.wait_for(|s| *s) => true,
            };
            if stopped {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        });
    }
    drop(listener);
    let finished = async { while connections.join_next().await.is_some() {} };
    let _ = timeout(drain, finished).await;
}
