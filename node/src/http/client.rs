use {
    super::{full, read_all, Body},
    bytes::Bytes,
    hyper::{
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        header, Method, Request, Response,
    },
    hyper_util::rt::TokioIo,
    serde::{de::DeserializeOwned, Serialize},
    std::{net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::{net::TcpStream, task::JoinHandle, time::timeout},
};

/// Largest answer that is read as a whole, in bytes.
const MAX_ANSWER: usize = 4 << 20;

/// Why a call over HTTP failed.
#[derive(Debug, Clone, Error)]
pub enum CallError {
    /// No connection was made: nothing was sent.
    #[error("connection to {0} failed: {1}")]
    NotSent(SocketAddr, String),
    /// The request went out and no answer came: it may have had its effect.
    #[error("{0} gave no answer: {1}")]
    Lost(SocketAddr, String),
    /// No answer came in time: the request may have had its effect.
    #[error("{0} gave no answer in time")]
    Timeout(SocketAddr),
}

impl CallError {
    /// Whether it is certain that nothing was sent.
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(..))
    }
}

/// A connection for one request.
///
/// Connections are not kept: a client that reuses them may send a request a second time when the
/// far side closed the connection meanwhile, which a run-once request must never meet.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Body>,
    task: JoinHandle<()>,
}

impl Connection {
    /// Connects within `limit`.
    ///
    /// # Errors
    /// [`CallError::NotSent`].
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, CallError> {
        let not_sent = |e: String| CallError::NotSent(address, e);
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent("timed out".into()))?
            .map_err(|e| not_sent(e.to_string()))?;
        stream.set_nodelay(true).map_err(|e| not_sent(e.to_string()))?;
        let (sender, driver) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| not_sent(e.to_string()))?;
        let task = tokio::spawn(async move {
            // The sender sees the same error.
            let _ = driver.await;
        });
        Ok(Self { address, sender, task })
    }

    /// Sends the request and waits at most `limit` for the head of the answer.
    ///
    /// # Errors
    /// [`CallError::Lost`] or [`CallError::Timeout`]; the connection is closed then.
    pub async fn send(
        mut self,
        request: Request<Body>,
        limit: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        match timeout(limit, self.sender.send_request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(e)) => Err(CallError::Lost(self.address, e.to_string())),
            Err(_) => {
                self.task.abort();
                Err(CallError::Timeout(self.address))
            }
        }
    }
}

/// An answer that was read as a whole.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// Reads the body as JSON.
    ///
    /// # Errors
    /// What is wrong with the body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|e| e.to_string())
    }
}

/// Makes a request for `path` with a JSON body.
pub fn json_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Request<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    request(method, address, path, bytes)
}

/// Makes a request for `path`.
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

/// Sends one request on a connection of its own and reads the whole answer, all within `limit`.
///
/// # Errors
/// [`CallError`].
pub async fn call(
    address: SocketAddr,
    request: Request<Body>,
    limit: Duration,
) -> Result<BufferedResponse, CallError> {
    let connection = Connection::open(address, limit).await?;
    let whole = async {
        let response = connection.send(request, limit).await?;
        let status = response.status().as_u16();
        let body = read_all(response.into_body(), MAX_ANSWER)
            .await
            .map_err(|e| CallError::Lost(address, e.to_string()))?;
        Ok(BufferedResponse { status, body })
    };
    timeout(limit, whole).await.map_err(|_| CallError::Timeout(address))?
}
