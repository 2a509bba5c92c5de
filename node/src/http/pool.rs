use {
    super::{Body, CallError},
    hyper::{
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        header, HeaderMap, Request, Response,
    },
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, task::JoinHandle, time::timeout},
};

/// Time after which bytes that the far side does not acknowledge break the connection.
const SILENT: Duration = Duration::from_millis(1_500);
/// Idle time after which the far side is probed, and between probes.
const PROBE: Duration = Duration::from_secs(1);
/// Idle time after which a connection is not used again if the far side announces none.
const KEEP: Duration = Duration::from_secs(1);
/// Part of the announced idle time within which a connection is used again.
const USED: f64 = 0.5;

/// Connections that are kept for further requests, by the name of the far side.
///
/// A request goes out at most once: a connection that fails before a request was written gives it
/// back unsent, and after that nothing is sent again here.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<String, Vec<Idle>>>,
}

struct Idle {
    connection: Kept,
    since: Instant,
    keep: Duration,
}

struct Kept {
    sender: SendRequest<Body>,
    task: JoinHandle<()>,
}

/// A connection in use; it is closed when it is dropped without being given back.
pub struct PooledConnection {
    pool: Arc<Pool>,
    name: String,
    address: SocketAddr,
    kept: Option<Kept>,
    reused: bool,
}

/// Why a request has no answer.
pub enum SendFailure {
    /// Nothing was written: the request as it was.
    Unsent(Box<Request<Body>>),
    /// It may have been received.
    Lost(CallError),
}

impl Pool {
    fn idle(&self) -> MutexGuard<'_, HashMap<String, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection, or a new one made within `limit`.
    ///
    /// # Errors
    /// [`CallError::NotSent`].
    pub async fn acquire(
        self: &Arc<Self>,
        name: &str,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<PooledConnection, CallError> {
        if let Some(kept) = self.idle_one(name) {
            return Ok(self.pooled(name, address, kept, true));
        }
        let kept = self.open(address, limit).await?;
        Ok(self.pooled(name, address, kept, false))
    }

    fn pooled(
        self: &Arc<Self>,
        name: &str,
        address: SocketAddr,
        kept: Kept,
        reused: bool,
    ) -> PooledConnection {
        PooledConnection {
            pool: self.clone(),
            name: name.to_owned(),
            address,
            kept: Some(kept),
            reused,
        }
    }

    fn idle_one(&self, name: &str) -> Option<Kept> {
        let now = Instant::now();
        let mut idle = self.idle();
        let list = idle.get_mut(name)?;
        while let Some(found) = list.pop() {
            let fresh = now.duration_since(found.since) < found.keep;
            // A connection on which bytes came unasked, or that was closed, is not ready.
            if fresh && found.connection.sender.is_ready() {
                return Some(found.connection);
            }
            found.connection.task.abort();
        }
        None
    }

    async fn open(&self, address: SocketAddr, limit: Duration) -> Result<Kept, CallError> {
        let failed = |text: String| CallError::NotSent(address, text);
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| failed("timed out".into()))?
            .map_err(|e| failed(e.to_string()))?;
        guard(&stream).map_err(|e| failed(e.to_string()))?;
        let (sender, driver) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| failed(e.to_string()))?;
        let task = tokio::spawn(async move {
            // The sender sees the same error.
            let _ = driver.await;
        });
        Ok(Kept { sender, task })
    }

    /// Closes the idle connections to one far side.
    pub fn close_idle(&self, name: &str) {
        for idle in self.idle().remove(name).unwrap_or_default() {
            idle.connection.task.abort();
        }
    }

    /// Closes idle connections that are not used again.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle();
        for list in idle.values_mut() {
            list.retain(|i| {
                let keep = now.duration_since(i.since) < i.keep && !i.connection.sender.is_closed();
                if !keep {
                    i.connection.task.abort();
                }
                keep
            });
        }
        idle.retain(|_, list| !list.is_empty());
    }
}

/// Makes a connection whose far side falls silent end with an error.
fn guard(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SILENT))?;
    let probes = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE).with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

impl PooledConnection {
    /// Whether the connection has carried a request before.
    pub fn reused(&self) -> bool {
        self.reused
    }

    /// Sends a request and waits at most `limit` for the head of its answer.
    ///
    /// # Errors
    /// [`SendFailure`].
    pub async fn send(
        &mut self,
        request: Request<Body>,
        limit: Duration,
    ) -> Result<Response<Incoming>, SendFailure> {
        let address = self.address;
        let lost = |text: String| SendFailure::Lost(CallError::Lost(address, text));
        let Some(kept) = &mut self.kept else { return Err(lost("connection is closed".into())) };
        match timeout(limit, kept.sender.try_send_request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(mut error)) => match error.take_message() {
                Some(request) => Err(SendFailure::Unsent(Box::new(request))),
                None => Err(lost(error.into_error().to_string())),
            },
            Err(_) => Err(SendFailure::Lost(CallError::Timeout(address))),
        }
    }

    /// Gives the connection back after an answer that was read to its end.
    pub fn release(mut self, headers: &HeaderMap) {
        let Some(kept) = self.kept.take() else { return };
        let closes = headers.get(header::CONNECTION).is_some_and(|v| v.as_bytes() == b"close");
        if closes || kept.sender.is_closed() {
            return kept.task.abort();
        }
        let keep = keep_alive(headers).map_or(KEEP, |k| k.mul_f64(USED));
        let idle = Idle { connection: kept, since: Instant::now(), keep };
        self.pool.idle().entry(std::mem::take(&mut self.name)).or_default().push(idle);
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(kept) = self.kept.take() {
            kept.task.abort();
        }
    }
}

/// The idle time that the far side announces.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
