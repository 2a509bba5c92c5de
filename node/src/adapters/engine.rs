use {
    crate::{
        http::{call, json_request, read_all, request, Body, BufferedResponse, Connection},
        ports::{
            Answer, AnswerPart, Authority, Chunks, Command, Engine, EngineError, Job, LoadReport,
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

/// Longest wait for a connection to an engine.
const CONNECT: Duration = Duration::from_secs(1);
/// Longest wait for the head of an answer, or between two tokens.
const SILENCE: Duration = Duration::from_secs(20);
/// Longest line of a streamed answer, in bytes.
const MAX_LINE: usize = 64 << 10;
/// Longest refusal that is read, in bytes.
const MAX_REFUSAL: usize = 4 << 10;

/// Refusal of an order with an old fencing number.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FencedReply {
    /// The greatest number that the engine has seen.
    pub fence: Fence,
}

/// Sends an order if authority still holds once the connection is there; waits at most `connect`
/// for that and `answer` for the head of the answer.
///
/// # Errors
/// [`EngineError::NoAuthority`] if nothing was sent for want of it, or why no answer came.
pub async fn send_order(
    at: SocketAddr,
    request: Request<Body>,
    authority: Authority<'_>,
    [connect, answer]: [Duration; 2],
) -> Result<Response<Incoming>, EngineError> {
    let connection = Connection::open(at, connect).await?;
    if !authority() {
        return Err(EngineError::NoAuthority);
    }
    Ok(connection.send(request, answer).await?)
}

/// Engines over HTTP.
pub struct HttpEngine {
    limit: Duration,
    order: Duration,
}

impl HttpEngine {
    /// Engines whose short answers are awaited for `limit` and whose orders for `order`.
    pub fn new(limit: Duration, order: Duration) -> Self {
        Self { limit, order }
    }

    async fn open(&self, at: SocketAddr, request: Request<Body>) -> Result<Incoming, EngineError> {
        let connection = Connection::open(at, CONNECT).await.map_err(EngineError::from)?;
        let response = connection.send(request, SILENCE).await.map_err(EngineError::from)?;
        let status = response.status().as_u16();
        if status == 200 {
            return Ok(response.into_body());
        }
        let body = read_all(response.into_body(), MAX_REFUSAL).await;
        let text = body.map(|b| String::from_utf8_lossy(&b).into_owned()).unwrap_or_default();
        Err(refused(status, &text))
    }

    async fn ask<T: DeserializeOwned>(&self, at: SocketAddr, path: &str) -> Result<T, EngineError> {
        let request = request(Method::GET, at, path, "");
        let answer = call(at, request, self.limit).await.map_err(EngineError::from)?;
        read(&answer)
    }
}

/// An engine that answers 4xx or 503 says that it did nothing.
fn refused(status: u16, text: &str) -> EngineError {
    match status {
        400..=499 | 503 => EngineError::Refused(format!("status {status}: {text}")),
        _ => EngineError::Malformed(format!("status {status}")),
    }
}

fn read<T: DeserializeOwned>(answer: &BufferedResponse) -> Result<T, EngineError> {
    if answer.status != 200 {
        return Err(refused(answer.status, &String::from_utf8_lossy(&answer.body)));
    }
    answer.json().map_err(EngineError::Malformed)
}

struct Lines {
    body: Incoming,
    buffer: BytesMut,
    ended: bool,
}

impl Lines {
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
            if self.buffer.len() > MAX_LINE {
                return Err(EngineError::Malformed("line is too long".into()));
            }
            match timeout(SILENCE, self.body.frame()).await {
                Err(_) => return Err(EngineError::Timeout),
                Ok(None) => return Err(EngineError::Lost("answer broke off".into())),
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

fn chunks(body: Incoming) -> Chunks {
    let lines = Lines { body, buffer: BytesMut::new(), ended: false };
    try_unfold(
        lines,
        |mut lines| async move { Ok(lines.next().await?.map(|chunk| (chunk, lines))) },
    )
    .boxed()
}

impl Engine for HttpEngine {
    fn generate(&self, at: SocketAddr, job: Job) -> BoxFuture<'_, Result<Answer, EngineError>> {
        async move {
            let request = json_request(Method::POST, at, "/v1/runs", &job);
            let chunks = self.open(at, request).await.map(chunks)?;
            Ok(Answer { head: None, parts: chunks.map(|c| c.map(AnswerPart::Chunk)).boxed() })
        }
        .boxed()
    }

    fn prefill(&self, at: SocketAddr, job: Job) -> BoxFuture<'_, Result<RunId, EngineError>> {
        async move {
            let request = json_request(Method::POST, at, "/v1/prefills", &job);
            let body = self.open(at, request).await?;
            let done = timeout(SILENCE, read_all(body, MAX_REFUSAL)).await;
            done.map_err(|_| EngineError::Timeout)?
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
    ) -> BoxFuture<'a, Result<Chunks, EngineError>> {
        async move {
            let path = format!("/v1/runs/{run}?from={from}");
            self.open(at, request(Method::GET, at, &path, "")).await.map(chunks)
        }
        .boxed()
    }

    fn cancel<'a>(
        &'a self,
        at: SocketAddr,
        run: &'a RunId,
    ) -> BoxFuture<'a, Result<(), EngineError>> {
        async move {
            let request = request(Method::DELETE, at, &format!("/v1/runs/{run}"), "");
            call(at, request, self.limit).await.map(|_| ()).map_err(EngineError::from)
        }
        .boxed()
    }

    fn load(&self, at: SocketAddr) -> BoxFuture<'_, Result<LoadReport, EngineError>> {
        self.ask(at, "/v1/load").boxed()
    }

    fn report(&self, at: SocketAddr) -> BoxFuture<'_, Result<EngineReport, EngineError>> {
        self.ask(at, "/v1/state").boxed()
    }

    fn order<'a>(
        &'a self,
        at: SocketAddr,
        command: Command,
        authority: Authority<'a>,
    ) -> BoxFuture<'a, Result<(), EngineError>> {
        async move {
            let request = json_request(Method::POST, at, "/v1/orders", &command);
            let response = send_order(at, request, authority, [CONNECT, self.order]).await?;
            let status = response.status().as_u16();
            let body = timeout(self.order, read_all(response.into_body(), MAX_LINE))
                .await
                .map_err(|_| EngineError::Timeout)?
                .map_err(|e| EngineError::Lost(e.to_string()))?;
            let answer = BufferedResponse { status, body };
            if status == 409 {
                let reply: FencedReply = answer.json().map_err(EngineError::Malformed)?;
                return Err(EngineError::Fenced(reply.fence));
            }
            read::<EngineReport>(&answer).map(|_| ())
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
            self.ask(at, &path).await
        }
        .boxed()
    }
}
