use {
    crate::{
        http::{call, json_request, read_all, request, Body, BufferedResponse, Connection},
        ports::{
            Answer, AnswerPart, AuthorityCheck, ChunkStream, Command, Engine, EngineError, Job,
            LoadReport, SendCheck, Target,
        },
    },
    bytes::BytesMut,
    futures_util::{
        future::BoxFuture,
        stream::{try_unfold, StreamExt},
        FutureExt,
    },
    http_body_util::BodyExt,
    hyper::{body::Incoming, Method, Request, Response},
    lentil_core::{
        fleet::CacheEvent,
        ids::{Fence, RunId},
        order::EngineReport,
        stream::Chunk,
    },
    serde::{de::DeserializeOwned, Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Maximum time to connect to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum wait for the response head, and between two tokens of a stream.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum length of a line in a streamed answer; also limits responses to orders.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Maximum length of an error or prefill response.
const MAX_SHORT_BODY_BYTES: usize = 4 << 10;

/// Response to an order with an outdated fencing number.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FencedReply {
    /// Greatest fencing number that the engine has seen.
    pub fence: Fence,
}

/// Sends an order if `authority` still holds and `check` passes once the connection is established.
/// The timeouts are for the connection and for the response head.
///
/// # Errors
/// Returns [`EngineError::NoAuthority`] if `authority` no longer holds, or [`EngineError::Denied`],
/// in which cases nothing was sent, or the error of the connection or request.
pub async fn send_order(
    at: SocketAddr,
    request: Request<Body>,
    authority: AuthorityCheck<'_>,
    check: SendCheck<'_>,
    [connect_timeout, response_timeout]: [Duration; 2],
) -> Result<Response<Incoming>, EngineError> {
    let connection = Connection::open(at, connect_timeout).await?;
    if !authority() {
        return Err(EngineError::NoAuthority);
    }
    check().map_err(EngineError::Denied)?;
    Ok(connection.send(request, response_timeout).await?)
}

/// HTTP client for engines.
pub struct HttpEngine {
    timeout: Duration,
    order_timeout: Duration,
}

impl HttpEngine {
    /// Creates a client; `timeout` applies to short requests, `order_timeout` to orders.
    pub fn new(timeout: Duration, order_timeout: Duration) -> Self {
        Self { timeout, order_timeout }
    }

    /// Sends a request and returns the body of a response with status 200.
    async fn send(
        &self,
        at: SocketAddr,
        request: Request<Body>,
        check: SendCheck<'_>,
    ) -> Result<Incoming, EngineError> {
        let connection = Connection::open(at, CONNECT_TIMEOUT).await.map_err(EngineError::from)?;
        check().map_err(EngineError::Denied)?;
        let response = connection.send(request, READ_TIMEOUT).await.map_err(EngineError::from)?;
        let status = response.status().as_u16();
        if status == 200 {
            return Ok(response.into_body());
        }
        let body = read_all(response.into_body(), MAX_SHORT_BODY_BYTES).await;
        let text = body.map(|b| String::from_utf8_lossy(&b).into_owned()).unwrap_or_default();
        Err(status_error(status, &text))
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        at: SocketAddr,
        path: &str,
    ) -> Result<T, EngineError> {
        let request = request(Method::GET, at, path, "");
        let response = call(at, request, self.timeout).await.map_err(EngineError::from)?;
        parse_json(&response)
    }
}

/// Maps an error status to an error. By the protocol, an engine that responds with 4xx or 503 has
/// not acted on the request.
fn status_error(status: u16, text: &str) -> EngineError {
    match status {
        400..=499 | 503 => EngineError::Refused(format!("status {status}: {text}")),
        _ => EngineError::Malformed(format!("status {status}")),
    }
}

fn parse_json<T: DeserializeOwned>(response: &BufferedResponse) -> Result<T, EngineError> {
    if response.status != 200 {
        return Err(status_error(response.status, &String::from_utf8_lossy(&response.body)));
    }
    response.json().map_err(EngineError::Malformed)
}

/// Reads the chunks of a streamed answer, one JSON document per line.
struct ChunkReader {
    body: Incoming,
    buffer: BytesMut,
    ended: bool,
}

impl ChunkReader {
    async fn next(&mut self) -> Result<Option<Chunk>, EngineError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line = self.buffer.split_to(end + 1);
                let chunk: Chunk = serde_json::from_slice(&line[..end])
                    .map_err(|e| EngineError::Malformed(e.to_string()))?;
                self.ended = chunk.end.is_some();
                return Ok(Some(chunk));
            }
            if self.ended {
                return Ok(None);
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(EngineError::Malformed("line of the answer is too long".into()));
            }
            match timeout(READ_TIMEOUT, self.body.frame()).await {
                Err(_) => return Err(EngineError::Timeout),
                Ok(None) => {
                    return Err(EngineError::Lost(
                        "connection closed before the end of the answer".into(),
                    ))
                }
                Ok(Some(Err(e))) => return Err(EngineError::Lost(e.to_string())),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}

fn chunks(body: Incoming) -> ChunkStream {
    let reader = ChunkReader { body, buffer: BytesMut::new(), ended: false };
    try_unfold(
        reader,
        |mut reader| async move { Ok(reader.next().await?.map(|chunk| (chunk, reader))) },
    )
    .boxed()
}

impl Engine for HttpEngine {
    fn generate<'a>(
        &'a self,
        target: &'a Target,
        job: Job,
        check: SendCheck<'a>,
    ) -> BoxFuture<'a, Result<Answer, EngineError>> {
        async move {
            let at = target.address;
            let request = json_request(Method::POST, at, "/v1/runs", &job);
            let chunks = self.send(at, request, check).await.map(chunks)?;
            Ok(Answer {
                head: None,
                software: None,
                parts: chunks.map(|c| c.map(AnswerPart::Chunk)).boxed(),
            })
        }
        .boxed()
    }

    fn prefill<'a>(
        &'a self,
        target: &'a Target,
        job: Job,
        check: SendCheck<'a>,
    ) -> BoxFuture<'a, Result<RunId, EngineError>> {
        async move {
            let at = target.address;
            let request = json_request(Method::POST, at, "/v1/prefills", &job);
            let body = self.send(at, request, check).await?;
            let result = timeout(READ_TIMEOUT, read_all(body, MAX_SHORT_BODY_BYTES)).await;
            result
                .map_err(|_| EngineError::Timeout)?
                .map(|_| job.run)
                .map_err(|e| EngineError::Lost(e.to_string()))
        }
        .boxed()
    }

    fn resume<'a>(
        &'a self,
        at: SocketAddr,
        run: &'a RunId,
        from: u64,
    ) -> BoxFuture<'a, Result<ChunkStream, EngineError>> {
        async move {
            let path = format!("/v1/runs/{run}?from={from}");
            let resumes = request(Method::GET, at, &path, "");
            self.send(at, resumes, &|| Ok(())).await.map(chunks)
        }
        .boxed()
    }

    fn cancel<'a>(
        &'a self,
        target: &'a Target,
        run: &'a RunId,
        check: SendCheck<'a>,
    ) -> BoxFuture<'a, Result<(), EngineError>> {
        async move {
            let at = target.address;
            let request = request(Method::DELETE, at, &format!("/v1/runs/{run}"), "");
            let connection = Connection::open(at, self.timeout).await?;
            check().map_err(EngineError::Denied)?;
            Ok(connection.exchange(request, self.timeout).await.map(|_| ())?)
        }
        .boxed()
    }

    fn load(&self, at: SocketAddr) -> BoxFuture<'_, Result<LoadReport, EngineError>> {
        self.get_json(at, "/v1/load").boxed()
    }

    fn report<'a>(
        &'a self,
        target: &'a Target,
        check: SendCheck<'a>,
    ) -> BoxFuture<'a, Result<EngineReport, EngineError>> {
        async move {
            check().map_err(EngineError::Denied)?;
            self.get_json(target.address, "/v1/state").await
        }
        .boxed()
    }

    fn order<'a>(
        &'a self,
        target: &'a Target,
        command: Command,
        authority: AuthorityCheck<'a>,
        check: SendCheck<'a>,
    ) -> BoxFuture<'a, Result<(), EngineError>> {
        async move {
            let at = target.address;
            let request = json_request(Method::POST, at, "/v1/orders", &command);
            let timeouts = [CONNECT_TIMEOUT, self.order_timeout];
            let response = send_order(at, request, authority, check, timeouts).await?;
            let (head, body) = response.into_parts();
            let (status, headers) = (head.status.as_u16(), head.headers);
            let body = timeout(self.order_timeout, read_all(body, MAX_LINE_BYTES))
                .await
                .map_err(|_| EngineError::Timeout)?
                .map_err(|e| EngineError::Lost(e.to_string()))?;
            let response = BufferedResponse { status, headers, body };
            if status == 409 {
                let reply: FencedReply = response.json().map_err(EngineError::Malformed)?;
                return Err(EngineError::Fenced(reply.fence));
            }
            parse_json::<EngineReport>(&response).map(|_| ())
        }
        .boxed()
    }

    fn cache_events(
        &self,
        at: SocketAddr,
        from: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, EngineError>> {
        async move {
            let path = format!("/v1/cache?from={from}");
            self.get_json(at, &path).await
        }
        .boxed()
    }
}
