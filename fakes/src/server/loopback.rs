use {
    hyper::{body::Incoming, Request, Response},
    lentil_node::http::{serve, Body, Connections},
    std::{
        convert::Infallible,
        future::Future,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, task::JoinHandle},
};

/// Handles the HTTP requests of a fake.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// A server on loopback that can be aborted, with all its connections, and restarted on the same
/// port.
pub struct LoopbackServer {
    /// Address on which the server listens.
    pub address: SocketAddr,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl LoopbackServer {
    /// Starts serving on a free port.
    ///
    /// # Panics
    /// If no port can be bound.
    pub async fn start(handler: Arc<impl Handler>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let server = Arc::new(Self { address, task: Mutex::default() });
        server.spawn(listener, handler);
        server
    }

    fn spawn(&self, listener: TcpListener, handler: Arc<impl Handler>) {
        let service = tower_service(handler);
        let task = tokio::spawn(async move {
            // The sender is dropped when the task is aborted, which stops the server.
            let (_stop, stopped) = watch::channel(false);
            serve(listener, service, stopped, Duration::ZERO, Connections::unlimited()).await;
        });
        *self.task.lock().unwrap_or_else(PoisonError::into_inner) = Some(task);
    }

    /// Closes the port and all connections at once.
    pub fn abort(&self) {
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(task) = task {
            task.abort();
        }
    }

    /// Aborts the server if it runs, and serves on the same port again.
    pub async fn restart(&self, handler: Arc<impl Handler>) {
        self.abort();
        loop {
            // The port stays in use until the aborted connections are closed.
            if let Ok(listener) = TcpListener::bind(self.address).await {
                return self.spawn(listener, handler);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn tower_service<H: Handler>(
    handler: Arc<H>,
) -> impl tower::Service<
    Request<Incoming>,
    Response = Response<Body>,
    Error = Infallible,
    Future = futures_util::future::BoxFuture<'static, Result<Response<Body>, Infallible>>,
> + Clone
       + Send
       + 'static {
    tower::service_fn(move |request| {
        let handler = handler.clone();
        let response: futures_util::future::BoxFuture<'static, _> =
            Box::pin(async move { Ok(handler.handle(request).await) });
        response
    })
}
