use {
    super::{full, observed_stream::ObservedStream, read_all, Body, ReadAllowance},
    bytes::Bytes,
    hyper::{
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        header, HeaderMap, Method, Request, Response,
    },
    hyper_util::rt::TokioIo,
    serde::{de::DeserializeOwned, Serialize},
    std::{net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::{net::TcpStream, task::JoinHandle, time::timeout},
};

/// Maximum size of a connection's read buffer, and thus of a response head.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// Timeout of a connection that only shows whether a process listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a response body that [`call`] reads.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// An error of an HTTP request.
#[derive(Debug, Clone, Error)]
pub enum CallError {
    /// The connection could not be established: nothing was sent.
    #[error("connection to {0} failed: {1}")]
    NotSent(SocketAddr, String),
    /// The connection was not established in time: nothing was sent.
    #[error("connection to {0} failed: timed out")]
    ConnectTimeout(SocketAddr),
    /// The connection failed after the request was sent: the request may have taken effect.
    #[error("{0} did not respond: {1}")]
    Lost(SocketAddr, String),
    /// No response arrived in time: the request may have taken effect.
    #[error("{0} did not respond in time")]
    Timeout(SocketAddr),
}

impl CallError {
    /// Returns whether it is certain that nothing was sent.
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(..) | Self::ConnectTimeout(_))
    }
}

/// A connection for a single request.
///
/// Connections are not reused: a client that reuses them may send a request a second time if the
/// server has closed the connection in the meantime, which must never happen to a run-once request.
pub struct Connection {
    address: SocketAddr,
    channel: Channel,
}

/// HTTP/1 exchange over one connection, and the task that drives it.
pub(super) struct Channel {
    pub(super) sender: SendRequest<Body>,
    pub(super) task: JoinHandle<()>,
    pub(super) allowance: ReadAllowance,
}

impl Channel {
    /// Begins an HTTP/1 exchange on a connection. What the server may send is limited.
    pub(super) async fn open(stream: TcpStream) -> hyper::Result<Self> {
        let allowance = ReadAllowance::for_head();
        let stream = TokioIo::new(ObservedStream::new(stream, allowance.clone()));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let (sender, driver) = builder.handshake(stream).await?;
        let task = tokio::spawn(async move {
            // The sender reports the same error.
            let _ = driver.await;
        });
        Ok(Self { sender, task, allowance })
    }
}

impl Connection {
    /// Connects to `address` within `connect_timeout`.
    ///
    /// # Errors
    /// Returns [`CallError::NotSent`] if the connection fails, [`CallError::ConnectTimeout`] if it is
    /// not established in time.
    pub async fn open(address: SocketAddr, connect_timeout: Duration) -> Result<Self, CallError> {
        let not_sent = |e: String| CallError::NotSent(address, e);
        let stream = timeout(connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| CallError::ConnectTimeout(address))?
            .map_err(|e| not_sent(e.to_string()))?;
        stream.set_nodelay(true).map_err(|e| not_sent(e.to_string()))?;
        let channel = Channel::open(stream).await.map_err(|e| not_sent(e.to_string()))?;
        Ok(Self { address, channel })
    }

    /// Sends the request and waits up to `response_timeout` for the response head.
    ///
    /// # Errors
    /// Returns [`CallError::Lost`] or [`CallError::Timeout`] and closes the connection.
    pub async fn send(
        mut self,
        request: Request<Body>,
        response_timeout: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        match timeout(response_timeout, self.channel.sender.send_request(request)).await {
            Ok(Ok(response)) => {
                self.channel.allowance.expect_body();
                Ok(response)
            }
            Ok(Err(e)) => Err(CallError::Lost(self.address, e.to_string())),
            Err(_) => {
                self.channel.task.abort();
                Err(CallError::Timeout(self.address))
            }
        }
    }
}

/// Returns whether a process accepts connections at `address`; sends nothing.
pub async fn accepts_connections(address: SocketAddr) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    !matches!(connected, Ok(Err(_)))
}

/// A response whose body has been read completely.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// Parses the body as JSON.
    ///
    /// # Errors
    /// Returns a description of the parse error.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|e| e.to_string())
    }
}

/// Builds a request to `path` with a JSON body.
pub fn json_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Request<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    request(method, address, path, bytes)
}

/// Builds a request to `path` with a body that is declared as JSON.
pub fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Request<Body> {
    let mut request = Request::new(full(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    if let Ok(host) = address.to_string().parse() {
        headers.insert(header::HOST, host);
    }
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    request
}

impl Connection {
    /// Sends a request and reads the complete response within `timeout`.
    ///
    /// # Errors
    /// Returns [`CallError`] if the request fails.
    pub async fn exchange(
        self,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<BufferedResponse, CallError> {
        self.exchange_observed(request, timeout, MAX_RESPONSE_BYTES, |_, _| {}).await
    }

    /// Like [`Self::exchange`] for a body of at most `limit` bytes, and passes status and headers to
    /// `observe` as soon as they are there, whatever becomes of the body.
    ///
    /// # Errors
    /// Returns [`CallError`] if the request fails.
    pub async fn exchange_observed(
        self,
        request: Request<Body>,
        timeout: Duration,
        limit: usize,
        observe: impl FnOnce(u16, &HeaderMap),
    ) -> Result<BufferedResponse, CallError> {
        let address = self.address;
        let exchange = async {
            let response = self.send(request, timeout).await?;
            let (head, body) = response.into_parts();
            let status = head.status.as_u16();
            observe(status, &head.headers);
            let body =
                read_all(body, limit).await.map_err(|e| CallError::Lost(address, e.to_string()))?;
            Ok(BufferedResponse { status, headers: head.headers, body })
        };
        tokio::time::timeout(timeout, exchange).await.map_err(|_| CallError::Timeout(address))?
    }
}

/// Sends a request on a new connection and reads the complete response.
///
/// `timeout` applies to connecting, and separately to the rest of the exchange.
///
/// # Errors
/// Returns [`CallError`] if the connection or the request fails.
pub async fn call(
    address: SocketAddr,
    request: Request<Body>,
    timeout: Duration,
) -> Result<BufferedResponse, CallError> {
    Connection::open(address, timeout).await?.exchange(request, timeout).await
}
