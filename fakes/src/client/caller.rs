use {
    super::Events,
    hyper::{body::Incoming, header, HeaderMap, Method, Request, Response},
    lentil_node::http::{full, read_all, request, Body, CallError, Connection},
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Timeout for a complete response.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Size limit of a response body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A response whose body has been read.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body as text.
    pub body: String,
}

impl Reply {
    /// A header as text; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
    }

    /// The field of a JSON body at a JSON pointer, as text; empty if it is missing.
    pub fn field(&self, pointer: &str) -> String {
        let value: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        match value.pointer(pointer) {
            Some(serde_json::Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
            None => String::new(),
        }
    }
}

/// Body of a completion request.
#[derive(Debug, Clone, Serialize)]
pub struct CompletionRequest {
    /// Name of the model, or an alias of it.
    pub model: String,
    /// Text to complete.
    pub prompt: String,
    /// Largest number of output tokens.
    pub max_tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
}

/// A client that sends requests with a caller's bearer key.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Bearer key.
    pub key: String,
}

impl Caller {
    /// Creates a caller with the given bearer key.
    pub fn new(key: &str) -> Self {
        Self { key: key.to_owned() }
    }

    /// Builds a request with the caller's bearer key.
    pub fn request(&self, method: Method, at: SocketAddr, path: &str, body: &str) -> Request<Body> {
        let mut request = request(method, at, path, "");
        *request.body_mut() = full(body.to_owned());
        if let Ok(value) = format!("Bearer {}", self.key).parse() {
            request.headers_mut().insert(header::AUTHORIZATION, value);
        }
        request
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// [`CallError`] if the call fails or times out; a refusal is an ordinary [`Reply`].
    pub async fn send(&self, at: SocketAddr, request: Request<Body>) -> Result<Reply, CallError> {
        let exchange = async {
            let response = open(at, request).await?;
            let (head, body) = response.into_parts();
            let body = read_all(body, MAX_BODY_BYTES)
                .await
                .map_err(|e| CallError::Lost(at, e.to_string()))?;
            let (status, headers) = (head.status.as_u16(), head.headers);
            Ok(Reply { status, headers, body: String::from_utf8_lossy(&body).into_owned() })
        };
        timeout(CALL_TIMEOUT, exchange).await.unwrap_or(Err(CallError::Timeout(at)))
    }

    /// Sends a request with this method, path and body.
    ///
    /// # Errors
    /// [`CallError`] if the call fails or times out; a refusal is an ordinary [`Reply`].
    pub async fn call(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<Reply, CallError> {
        self.send(at, self.request(method, at, path, body)).await
    }

    /// Posts to a path with an idempotency key.
    ///
    /// # Errors
    /// [`CallError`] if the call fails or times out; a refusal is an ordinary [`Reply`].
    pub async fn post_keyed(
        &self,
        at: SocketAddr,
        path: &str,
        key: &str,
        body: &str,
    ) -> Result<Reply, CallError> {
        let mut request = self.request(Method::POST, at, path, body);
        if let Ok(value) = key.parse() {
            request.headers_mut().insert("idempotency-key", value);
        }
        self.send(at, request).await
    }

    /// Requests a text completion that is not streamed.
    ///
    /// # Errors
    /// [`CallError`] if the call fails or times out; a refusal is an ordinary [`Reply`].
    pub async fn complete(
        &self,
        at: SocketAddr,
        completion: &CompletionRequest,
    ) -> Result<Reply, CallError> {
        let body = serde_json::to_string(completion).unwrap_or_default();
        self.call(at, Method::POST, "/v1/completions", &body).await
    }

    /// Requests a streamed text completion.
    ///
    /// # Errors
    /// [`CallError`] if the call fails before the response headers.
    pub async fn stream_completion(
        &self,
        at: SocketAddr,
        completion: &CompletionRequest,
    ) -> Result<StreamReply, CallError> {
        let body = serde_json::to_string(completion).unwrap_or_default();
        let request = self.request(Method::POST, at, "/v1/completions", &body);
        stream_reply(at, open(at, request).await?).await
    }

    /// Resumes a stream after the event with the id `last_event`.
    ///
    /// # Errors
    /// [`CallError`] if the call fails before the response headers.
    pub async fn resume_stream(
        &self,
        at: SocketAddr,
        stream: &str,
        last_event: &str,
    ) -> Result<StreamReply, CallError> {
        let mut request = self.request(Method::GET, at, &format!("/v1/streams/{stream}"), "");
        let headers = request.headers_mut();
        headers.insert("lentil-shape", header::HeaderValue::from_static("text"));
        if let Ok(value) = last_event.parse() {
            headers.insert("last-event-id", value);
        }
        stream_reply(at, open(at, request).await?).await
    }
}

/// Response to a request for a stream.
pub enum StreamReply {
    /// The stream has started.
    Events(Events),
    /// The request was refused.
    Refused(Reply),
}

async fn open(at: SocketAddr, request: Request<Body>) -> Result<Response<Incoming>, CallError> {
    Connection::open(at, CALL_TIMEOUT).await?.send(request, CALL_TIMEOUT).await
}

async fn stream_reply(
    at: SocketAddr,
    response: Response<Incoming>,
) -> Result<StreamReply, CallError> {
    let (head, body) = response.into_parts();
    if head.status.as_u16() == 200 {
        return Ok(StreamReply::Events(Events::new(body)));
    }
    let bytes =
        read_all(body, MAX_BODY_BYTES).await.map_err(|e| CallError::Lost(at, e.to_string()))?;
    let body = String::from_utf8_lossy(&bytes).into_owned();
    Ok(StreamReply::Refused(Reply { status: head.status.as_u16(), headers: head.headers, body }))
}
