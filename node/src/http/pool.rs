use {
    super::{client::Channel, Body, CallError},
    hyper::{body::Incoming, header, HeaderMap, Request, Response},
    socket2::{SockRef, TcpKeepalive},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, time::timeout},
};

/// Time without acknowledgement of sent data after which a connection fails.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first TCP keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Idle time after which a connection is not reused if the server announces no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Share of the announced idle timeout within which a connection is reused.
const REUSABLE_IDLE_SHARE: f64 = 0.5;

/// Pool of idle HTTP/1 connections, by the name of the server.
///
/// The pool never sends a request twice. If a connection fails before the request was written, the
/// request is returned to the caller unsent; after that, it counts as possibly received.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<String, Vec<IdleConnection>>>,
}

struct IdleConnection {
    connection: Channel,
    since: Instant,
    /// Idle time within which the connection may be reused.
    reusable_for: Duration,
}

/// A connection in use. Dropping it closes the connection; [`release`](Self::release) returns it to
/// the pool.
pub struct PooledConnection {
    pool: Arc<Pool>,
    name: String,
    address: SocketAddr,
    connection: Option<Channel>,
    reused: bool,
}

/// Why a request has no response.
pub enum SendFailure {
    /// Nothing was written; returns the unchanged request.
    Unsent(Box<Request<Body>>),
    /// The server may have received the request.
    Lost(CallError),
}

impl Pool {
    fn idle(&self) -> MutexGuard<'_, HashMap<String, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an idle connection to the server `name`, or connects to `address` within
    /// `connect_timeout`.
    ///
    /// # Errors
    /// Returns [`CallError::NotSent`] if the connection fails, [`CallError::ConnectTimeout`] if it is
    /// not established in time.
    pub async fn acquire(
        self: &Arc<Self>,
        name: &str,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<PooledConnection, CallError> {
        if let Some(connection) = self.take_idle(name) {
            return Ok(self.pooled(name, address, connection, true));
        }
        let connection = self.open(address, connect_timeout).await?;
        Ok(self.pooled(name, address, connection, false))
    }

    fn pooled(
        self: &Arc<Self>,
        name: &str,
        address: SocketAddr,
        connection: Channel,
        reused: bool,
    ) -> PooledConnection {
        PooledConnection {
            pool: self.clone(),
            name: name.to_owned(),
            address,
            connection: Some(connection),
            reused,
        }
    }

    fn take_idle(&self, name: &str) -> Option<Channel> {
        let now = Instant::now();
        let mut idle = self.idle();
        let list = idle.get_mut(name)?;
        while let Some(entry) = list.pop() {
            let fresh = now.duration_since(entry.since) < entry.reusable_for;
            // A connection that was closed, or received unexpected data, is not ready.
            if fresh && entry.connection.sender.is_ready() {
                return Some(entry.connection);
            }
            entry.connection.task.abort();
        }
        None
    }

    async fn open(
        &self,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Channel, CallError> {
        let failed = |text: String| CallError::NotSent(address, text);
        let stream = timeout(connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| CallError::ConnectTimeout(address))?
            .map_err(|e| failed(e.to_string()))?;
        configure_socket(&stream).map_err(|e| failed(e.to_string()))?;
        Channel::open(stream).await.map_err(|e| failed(e.to_string()))
    }

    /// Closes all idle connections to the server `name`.
    pub fn close_idle(&self, name: &str) {
        for idle in self.idle().remove(name).unwrap_or_default() {
            idle.connection.task.abort();
        }
    }

    /// Closes idle connections that may no longer be reused.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle();
        for list in idle.values_mut() {
            list.retain(|entry| {
                let fresh = now.duration_since(entry.since) < entry.reusable_for;
                let reusable = fresh && !entry.connection.sender.is_closed();
                if !reusable {
                    entry.connection.task.abort();
                }
                reusable
            });
        }
        idle.retain(|_, list| !list.is_empty());
    }
}

/// Sets socket options so that a connection fails with an error if the peer stops responding.
fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

impl PooledConnection {
    /// Returns whether the connection has been used for an earlier request.
    pub fn reused(&self) -> bool {
        self.reused
    }

    /// Sends a request and waits up to `response_timeout` for the response head.
    ///
    /// # Errors
    /// Returns [`SendFailure`], which states whether the request may have been received.
    pub async fn send(
        &mut self,
        request: Request<Body>,
        response_timeout: Duration,
    ) -> Result<Response<Incoming>, SendFailure> {
        let address = self.address;
        let lost = |text: String| SendFailure::Lost(CallError::Lost(address, text));
        let Some(connection) = &mut self.connection else {
            return Err(lost("connection is closed".into()));
        };
        connection.allowance.expect_head();
        match timeout(response_timeout, connection.sender.try_send_request(request)).await {
            Ok(Ok(response)) => {
                connection.allowance.expect_body();
                Ok(response)
            }
            Ok(Err(mut error)) => match error.take_message() {
                Some(request) => Err(SendFailure::Unsent(Box::new(request))),
                None => Err(lost(error.into_error().to_string())),
            },
            Err(_) => Err(SendFailure::Lost(CallError::Timeout(address))),
        }
    }

    /// Returns the connection to the pool after the response has been read completely; `headers`
    /// are those of the response.
    pub fn release(mut self, headers: &HeaderMap) {
        let Some(connection) = self.connection.take() else { return };
        let closes = headers.get(header::CONNECTION).is_some_and(|v| v.as_bytes() == b"close");
        if closes || connection.sender.is_closed() {
            return connection.task.abort();
        }
        connection.allowance.expect_head();
        let reusable_for = announced_idle_timeout(headers)
            .map_or(DEFAULT_IDLE_TIMEOUT, |t| t.mul_f64(REUSABLE_IDLE_SHARE));
        let idle = IdleConnection { connection, since: Instant::now(), reusable_for };
        self.pool.idle().entry(std::mem::take(&mut self.name)).or_default().push(idle);
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.task.abort();
        }
    }
}

/// Reads the idle timeout that the server announces in the `Keep-Alive` header.
fn announced_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
