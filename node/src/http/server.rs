use {
    super::{
        observed_stream::ObservedStream, open_connection::OpenConnection,
        tracked_body::TrackedBody, Body, Connections, OverCapacity,
    },
    hyper::{body::Incoming, service::service_fn, Request, Response},
    hyper_util::rt::TokioIo,
    lentil_core::intake::RECEIVE_BUFFER,
    socket2::SockRef,
    std::{convert::Infallible, future::Future, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinSet,
        time::{sleep, timeout},
    },
    tower::{Service, ServiceExt},
};

/// Delay after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval at which connections are checked that take too long.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Serves connections until `stop` becomes true, then waits up to `drain` for running requests to
/// finish.
pub async fn serve<S>(
    listener: TcpListener,
    service: S,
    mut stop: watch::Receiver<bool>,
    drain: Duration,
    limits: Arc<Connections>,
) where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Future<Output = Result<Response<Body>, Infallible>> + Send,
{
    // Fails where the system has no such option; its own default then applies.
    let _ = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER);
    let mut connections = JoinSet::new();
    let mut check = tokio::time::interval(CHECK_INTERVAL);
    check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|s| *s) => break,
            Some(_) = connections.join_next(), if !connections.is_empty() => continue,
            _ = check.tick(), if !connections.is_empty() => {
                limits.close_expired();
                continue;
            }
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Nagle's algorithm would delay small chunks of a stream until earlier ones are
        // acknowledged.
        let _ = stream.set_nodelay(true);
        let connection = limits.open();
        let id = connection.id;
        let serving =
            serve_connection(stream, connection, service.clone(), limits.clone(), stop.clone());
        let task = connections.spawn(serving);
        limits.admit(id, task);
    }
    drop(listener);
    let finished = async { while connections.join_next().await.is_some() {} };
    let _ = timeout(drain, finished).await;
}

async fn serve_connection<S>(
    stream: TcpStream,
    open: Arc<OpenConnection>,
    service: S,
    limits: Arc<Connections>,
    mut stop: watch::Receiver<bool>,
) where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Future<Output = Result<Response<Body>, Infallible>> + Send,
{
    let io = TokioIo::new(ObservedStream::new(stream, open.clone()));
    let tracked = service_fn(move |mut request: Request<Incoming>| {
        if !open.begin_work() {
            request.extensions_mut().insert(OverCapacity);
        }
        let (service, open) = (service.clone(), open.clone());
        async move {
            let response = service.oneshot(request).await?;
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, open)))
        }
    });
    let mut connection = std::pin::pin!(hyper::server::conn::http1::Builder::new()
        .max_buf_size(limits.buffer_size())
        .serve_connection(io, tracked));
    let stopped = tokio::select! {
        _ = connection.as_mut() => false,
        _ = stop.wait_for(|s| *s) => true,
    };
    if stopped {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
