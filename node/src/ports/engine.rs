use {
    super::Target,
    crate::{
        http::{accepts_connections, CallError},
        intake::RequestBody,
    },
    bytes::Bytes,
    futures_util::{future::BoxFuture, stream::BoxStream, FutureExt},
    hyper::{HeaderMap, Method},
    lentil_core::{
        error::{Fault, Outcome},
        fleet::{CacheEvent, Load},
        gate::Denial,
        ids::{
            AdapterId, EngineId, Fence, Fingerprint, Incarnation, Millis, ModelId, Rank, RunId,
            SoftwareVersion, WorkspaceId,
        },
        manifest::Role,
        order::{EngineReport, Holder, Order},
        stream::Chunk,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    thiserror::Error,
};

/// A caller's request that is proxied to a target unchanged.
#[derive(Debug)]
pub struct ProxyRequest {
    /// Request id that the caller gave this attempt.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query string.
    pub path: String,
    /// Headers, without hop-by-hop headers and those that the instance sets itself.
    pub headers: HeaderMap,
    /// Request body.
    pub body: RequestBody,
}

impl ProxyRequest {
    /// Returns the hash of what a target runs, and for whom. Requests of another workspace, or to
    /// another service, have another one.
    ///
    /// ```
    /// use {lentil_node::ports::ProxyRequest, hyper::Method};
    ///
    /// let request = |method| ProxyRequest {
    ///     id: "1".into(),
    ///     method,
    ///     path: "/a".into(),
    ///     headers: Default::default(),
    ///     body: "b".into(),
    /// };
    /// let service = "s".parse().unwrap();
    /// let get = request(Method::GET).fingerprint(None, &service);
    /// assert_eq!(get, ProxyRequest { id: "2".into(), ..request(Method::GET) }.fingerprint(None, &service));
    /// assert_ne!(get, request(Method::POST).fingerprint(None, &service));
    /// assert_ne!(get, request(Method::GET).fingerprint(Some(&"w".parse().unwrap()), &service));
    /// ```
    pub fn fingerprint(&self, workspace: Option<&WorkspaceId>, service: &ModelId) -> Fingerprint {
        let parts = [
            workspace.map_or("", |w| w.as_str()),
            service.as_str(),
            self.method.as_str(),
            &self.path,
        ];
        Fingerprint::of_chunked(&parts.map(str::as_bytes), self.body.parts())
    }
}

/// A proxied request with the parameters of one attempt at a target.
#[derive(Debug, Clone)]
pub struct ProxyAttempt {
    /// The caller's request.
    pub request: Arc<ProxyRequest>,
    /// Intended target; another target at the same address must not run the request.
    pub target: EngineId,
    /// Remaining time until the caller's deadline.
    pub remaining: Duration,
    /// Rank of the request in the target's queue.
    pub rank: Rank,
    /// Last event that the caller received, if the stream resumes after it.
    pub last_event: Option<u64>,
    /// Whether the answer is an event stream.
    pub streams: bool,
    /// Address of an engine whose KV cache holds a prefix of the prompt.
    pub fetch: Option<SocketAddr>,
}

/// Status and headers of a proxied answer.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// HTTP status code.
    pub status: u16,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
}

/// A part of an answer, as it arrives.
#[derive(Debug, Clone)]
pub enum AnswerPart {
    /// A token of a generated answer.
    Chunk(Chunk),
    /// A complete event of a proxied stream.
    Event {
        /// Number of the event, which increases along the stream.
        id: u64,
        /// The unmodified event.
        bytes: Bytes,
    },
    /// The complete body of a proxied answer that is not a stream.
    Body(Bytes),
}

/// An answer that is received in parts.
pub struct Answer {
    /// Status and headers, if the request is proxied.
    pub head: Option<AnswerHead>,
    /// Version of the software that answers, if another instance has chosen the target.
    pub software: Option<SoftwareVersion>,
    /// Parts of the answer; the stream ends without an error only if the answer is complete.
    pub parts: BoxStream<'static, Result<AnswerPart, EngineError>>,
}

/// A generation request sent to an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Job {
    /// Unique identifier of the run.
    pub run: RunId,
    /// Model to run.
    pub model: ModelId,
    /// Adapter to apply, if any.
    pub adapter: Option<AdapterId>,
    /// Prompt text; empty if the request is proxied.
    pub prompt: String,
    /// Tokens of the answer that another engine has already generated.
    pub done: Vec<String>,
    /// Maximum number of tokens of the whole answer.
    pub max: u32,
    /// Jobs with a higher priority are served first.
    pub priority: u8,
    /// Source of the prompt's KV cache, if another engine prefilled it.
    pub cache: Option<CacheSource>,
    /// The caller's own request, if it is proxied instead of generated from the prompt.
    #[serde(skip)]
    pub proxied: Option<ProxyAttempt>,
}

/// Location from which a run's KV cache can be fetched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheSource {
    /// Address of the engine that prefilled the prompt.
    pub address: SocketAddr,
    /// Identifier of the run on that engine.
    pub run: RunId,
}

/// An engine's report of its load, which may lag behind the actual load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Queued prompt tokens, and running and waiting requests.
    pub load: Load,
    /// Time since the load was measured.
    pub age: Millis,
    /// Incarnation of the engine process.
    pub boot: Incarnation,
    /// Current role of the engine.
    pub role: Role,
    /// Whether the engine is still carrying out an order.
    pub changing: bool,
    /// Whether the engine is about to leave and takes no new work.
    pub leaving: bool,
    /// Adapters that the engine has loaded.
    pub adapters: Vec<AdapterId>,
}

/// An order to an engine, with its fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Fencing number of the order.
    pub number: Fence,
    /// What the engine is to change, such as its role.
    pub order: Order,
    /// Addressee, issuer and precondition, on platforms that require them.
    #[serde(skip)]
    pub context: Option<OrderContext>,
}

/// Addressee, issuer and precondition of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderContext {
    /// Intended engine; another engine at the same address must not act on the order.
    pub engine: EngineId,
    /// Holder of the cell that gives the order.
    pub by: Holder,
    /// Number of orders that the engine must have accepted before this one.
    pub before: Option<u64>,
}

/// An error of a request to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EngineError {
    /// The engine could not be reached: nothing was sent.
    #[error("request was not sent to the engine: {0}")]
    NotSent(String),
    /// The engine did not accept a connection in time: nothing was sent.
    #[error("engine did not accept a connection in time: {0}")]
    Unreachable(String),
    /// The engine may not be sent the request now: nothing was sent.
    #[error("request was not sent to the engine: {0}")]
    Denied(Denial),
    /// The engine refused the request without acting on it.
    #[error("engine refused the request: {0}")]
    Refused(String),
    /// Another target answered at the address, without acting on the request.
    #[error("address belongs to another target")]
    Misdirected,
    /// The engine refused the order because it has seen a greater fencing number.
    #[error("engine has already seen fencing number {0}")]
    Fenced(Fence),
    /// The connection failed after the request was sent: the engine may have acted on it.
    #[error("connection to the engine was lost: {0}")]
    Lost(String),
    /// No response arrived in time: the engine may have acted on the request.
    #[error("engine did not respond in time")]
    Timeout,
    /// The response violated the protocol.
    #[error("response of the engine is malformed: {0}")]
    Malformed(String),
    /// The instance to which the request was relayed has given it up.
    #[error("the request was given up by another instance: {0}")]
    GivenUp(Fault),
    /// Authority over the engine's cell ended before the order was sent.
    #[error("authority over the cell ended before the order was sent")]
    NoAuthority,
}

impl EngineError {
    /// Returns whether it is certain that the engine did not run the request.
    pub fn not_run(&self) -> bool {
        match self {
            Self::GivenUp(fault) => fault.outcome == Outcome::NotRun,
            error => error.not_sent() || matches!(error, Self::Refused(_) | Self::Misdirected),
        }
    }

    /// Returns whether nothing was sent to the engine.
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Unreachable(_) | Self::Denied(_))
    }
}

impl From<CallError> for EngineError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(..) => Self::NotSent(error.to_string()),
            CallError::ConnectTimeout(_) => Self::Unreachable(error.to_string()),
            CallError::Lost(..) => Self::Lost(error.to_string()),
            CallError::Timeout(_) => Self::Timeout,
        }
    }
}

/// The chunks of an answer, in order.
pub type ChunkStream = BoxStream<'static, Result<Chunk, EngineError>>;

/// Callback that returns whether the sender still has authority over the engine's cell. It is
/// called just before an order is sent.
pub type AuthorityCheck<'a> = &'a (dyn Fn() -> bool + Send + Sync);

/// Callback that returns whether the target may be sent a request now. It is called once the
/// connection is ready, right before the first byte is sent.
pub type SendCheck<'a> = &'a (dyn Fn() -> Result<(), Denial> + Send + Sync);

/// Client for model engines.
pub trait Engine: Send + Sync {
    /// Starts a run and streams its answer.
    fn generate<'a>(
        &'a self,
        target: &'a Target,
        job: Job,
        check: SendCheck<'a>,
    ) -> BoxFuture<'a, Result<Answer, EngineError>>;

    /// Prefills a prompt; the engine keeps the KV cache for export under the returned run.
    fn prefill<'a>(
        &'a self,
        target: &'a Target,
        job: Job,
        check: SendCheck<'a>,
    ) -> BoxFuture<'a, Result<RunId, EngineError>>;

    /// Streams the answer of an existing run from token offset `from` on.
    fn resume<'a>(
        &'a self,
        at: SocketAddr,
        run: &'a RunId,
        from: u64,
    ) -> BoxFuture<'a, Result<ChunkStream, EngineError>>;

    /// Cancels a run.
    fn cancel<'a>(
        &'a self,
        target: &'a Target,
        run: &'a RunId,
        check: SendCheck<'a>,
    ) -> BoxFuture<'a, Result<(), EngineError>>;

    /// Reads the engine's load report, which may lag behind the actual load.
    fn load(&self, at: SocketAddr) -> BoxFuture<'_, Result<LoadReport, EngineError>>;

    /// Reads the current state of the engine: role, fencing number, version and adapters.
    fn report<'a>(
        &'a self,
        target: &'a Target,
        check: SendCheck<'a>,
    ) -> BoxFuture<'a, Result<EngineReport, EngineError>>;

    /// Returns whether a process accepts connections at the target's address; sends nothing.
    fn listens<'a>(&'a self, target: &'a Target) -> BoxFuture<'a, bool> {
        accepts_connections(target.address).boxed()
    }

    /// Sends an order, if `authority` still holds and `check` passes once the connection is
    /// established.
    fn order<'a>(
        &'a self,
        target: &'a Target,
        command: Command,
        authority: AuthorityCheck<'a>,
        check: SendCheck<'a>,
    ) -> BoxFuture<'a, Result<(), EngineError>>;

    /// Reads the prefix cache events published so far, from number `from` on.
    fn cache_events(
        &self,
        at: SocketAddr,
        from: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, EngineError>>;
}
