use {
    super::Events,
    hyper::{body::Incoming, header, HeaderMap, Method, Request, Response},
    lentil_node::http::{full, read_all, request, Body, CallError, Connection},
    serde::Serialize,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Longest wait for a whole answer.
const LIMIT: Duration = Duration::from_secs(60);
/// Largest answer, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// An answer that was read as a whole.
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
    /// A header as text, empty if it is not there.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("")
    }

    /// A field of a JSON body, by its JSON pointer.
    pub fn field(&self, pointer: &str) -> String {
        let value: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        match value.pointer(pointer) {
            Some(serde_json::Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
            None => String::new(),
        }
    }
}

/// What a generation asks for.
#[derive(Debug, Clone, Serialize)]
pub struct Prompt {
    /// The model or an alias.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens of output at most.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// A caller with its bearer key.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The key.
    pub key: String,
}

impl Caller {
    /// A caller with a key.
    pub fn new(key: &str) -> Self {
        Self { key: key.to_owned() }
    }

    /// A request with this caller's key.
    pub fn request(&self, method: Method, at: SocketAddr, path: &str, body: &str) -> Request<Body> {
        let mut request = request(method, at, path, "");
        *request.body_mut() = full(body.to_owned());
        if let Ok(value) = format!("Bearer {}", self.key).parse() {
            request.headers_mut().insert(header::AUTHORIZATION, value);
        }
        request
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// [`CallError`].
    pub async fn send(&self, at: SocketAddr, request: Request<Body>) -> Result<Reply, CallError> {
        let whole = async {
            let response = open(at, request).await?;
            let (head, body) = response.into_parts();
            let body =
                read_all(body, MAX_ANSWER).await.map_err(|e| CallError::Lost(at, e.to_string()))?;
            let (status, headers) = (head.status.as_u16(), head.headers);
            Ok(Reply { status, headers, body: String::from_utf8_lossy(&body).into_owned() })
        };
        timeout(LIMIT, whole).await.unwrap_or(Err(CallError::Timeout(at)))
    }

    /// Calls a path.
    ///
    /// # Errors
    /// [`CallError`].
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
    /// [`CallError`].
    pub async fn keyed(
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

    /// Asks for a whole text completion.
    ///
    /// # Errors
    /// [`CallError`].
    pub async fn complete(&self, at: SocketAddr, prompt: &Prompt) -> Result<Reply, CallError> {
        let body = serde_json::to_string(prompt).unwrap_or_default();
        self.call(at, Method::POST, "/v1/completions", &body).await
    }

    /// Asks for a streamed text completion.
    ///
    /// # Errors
    /// [`CallError`] before the head of the answer.
    pub async fn stream(&self, at: SocketAddr, prompt: &Prompt) -> Result<Opened, CallError> {
        let body = serde_json::to_string(prompt).unwrap_or_default();
        let request = self.request(Method::POST, at, "/v1/completions", &body);
        opened(at, open(at, request).await?).await
    }

    /// Resumes a stream after an event.
    ///
    /// # Errors
    /// [`CallError`] before the head of the answer.
    pub async fn resume(
        &self,
        at: SocketAddr,
        stream: &str,
        event: &str,
    ) -> Result<Opened, CallError> {
        let mut request = self.request(Method::GET, at, &format!("/v1/streams/{stream}"), "");
        let headers = request.headers_mut();
        headers.insert("lentil-shape", header::HeaderValue::from_static("text"));
        if let Ok(value) = event.parse() {
            headers.insert("last-event-id", value);
        }
        opened(at, open(at, request).await?).await
    }
}

/// A streamed answer, or the refusal of one.
pub enum Opened {
    /// The answer begins.
    Events(Events),
    /// It was refused.
    Refused(Reply),
}

async fn open(at: SocketAddr, request: Request<Body>) -> Result<Response<Incoming>, CallError> {
    Connection::open(at, LIMIT).await?.send(request, LIMIT).await
}

async fn opened(at: SocketAddr, response: Response<Incoming>) -> Result<Opened, CallError> {
    let (head, body) = response.into_parts();
    if head.status.as_u16() == 200 {
        return Ok(Opened::Events(Events::new(body)));
    }
    let bytes = read_all(body, MAX_ANSWER).await.map_err(|e| CallError::Lost(at, e.to_string()))?;
    let body = String::from_utf8_lossy(&bytes).into_owned();
    Ok(Opened::Refused(Reply { status: head.status.as_u16(), headers: head.headers, body }))
}
