use {
    hyper::{body::Incoming, Request, Response},
    lentil_node::http::{serve, Body, ConnectionLimits},
    std::{
        convert::Infallible,
        future::Future,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, task::JoinHandle},
};

/// What answers the requests of a stand-in.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// A server on loopback that can be cut off, with all its connections, and put back.
pub struct Host {
    /// Where it listens.
    pub address: SocketAddr,
    running: Mutex<Option<JoinHandle<()>>>,
}

impl Host {
    /// Starts serving on a free port.
    ///
    /// # Panics
    /// If no port can be bound.
    pub async fn start(handler: Arc<impl Handler>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let host = Arc::new(Self { address, running: Mutex::default() });
        host.run(listener, handler);
        host
    }

    fn run(&self, listener: TcpListener, handler: Arc<impl Handler>) {
        let service = tower_service(handler);
        let task = tokio::spawn(async move {
            // Dropped with the task, which stops the server.
            let (_stop, stopped) = watch::channel(false);
            serve(listener, service, stopped, Duration::ZERO, ConnectionLimits::default()).await;
        });
        *self.running.lock().unwrap_or_else(PoisonError::into_inner) = Some(task);
    }

    /// Closes the port and all connections at once.
    pub fn cut(&self) {
        let task = self.running.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(task) = task {
            task.abort();
        }
    }

    /// Serves on the same port again.
    pub async fn put_back(&self, handler: Arc<impl Handler>) {
        self.cut();
        loop {
            // The port stays taken until the cut connections are gone.
            if let Ok(listener) = TcpListener::bind(self.address).await {
                return self.run(listener, handler);
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
        let answer: futures_util::future::BoxFuture<'static, _> =
            Box::pin(async move { Ok(handler.answer(request).await) });
        answer
    })
}
