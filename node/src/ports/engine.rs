use {
    crate::http::CallError,
    bytes::Bytes,
    futures_util::{future::BoxFuture, stream::BoxStream},
    hyper::{HeaderMap, Method},
    lentil_core::{
        fleet::{CacheEvent, Load},
        ids::{AdapterId, EngineId, Fence, Incarnation, Millis, ModelId, Rank, RunId},
        manifest::Role,
        order::{EngineReport, Holder, Order},
        stream::Chunk,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    thiserror::Error,
};

/// A request that is passed on as it came.
#[derive(Debug)]
pub struct RawCall {
    /// Name that the caller gave this attempt.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers, without those that concern one connection or are the system's to set.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// What a passed-on request is sent with.
#[derive(Debug, Clone)]
pub struct ProxiedCall {
    /// The request.
    pub call: Arc<RawCall>,
    /// The target that is meant; another one at its address runs nothing.
    pub target: EngineId,
    /// Time within which the answer is of use.
    pub remaining: Duration,
    /// Its place among those that wait.
    pub rank: Rank,
    /// The last event that the caller has, if it goes on from there.
    pub last_event: Option<u64>,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// Engine that has the prompt's shared part in memory.
    pub fetch: Option<SocketAddr>,
}

/// Head of an answer that is passed on.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Headers, without those that concern one connection.
    pub headers: HeaderMap,
}

/// Piece of an answer.
#[derive(Debug, Clone)]
pub enum AnswerPart {
    /// A token of a model's answer.
    Chunk(Chunk),
    /// A whole event of a stream that is passed on.
    Event {
        /// Its number.
        id: u64,
        /// The event as it came.
        bytes: Bytes,
    },
    /// The whole body of an answer that is passed on.
    Body(Bytes),
}

/// An answer as it comes.
pub struct Answer {
    /// Its head, if it is passed on.
    pub head: Option<AnswerHead>,
    /// Its pieces; the stream ends without an error only if the answer is whole.
    pub parts: BoxStream<'static, Result<AnswerPart, EngineError>>,
}

/// A request as an engine runs it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Job {
    /// Name of the run, unique.
    pub run: RunId,
    /// The model.
    pub model: ModelId,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
    /// The prompt.
    pub prompt: String,
    /// Tokens of the answer that another engine made already.
    pub done: Vec<String>,
    /// Tokens of the whole answer at most.
    pub max: u32,
    /// Served before jobs of a lower priority.
    pub priority: u8,
    /// Where the prompt's KV cache can be had, if it was prefilled elsewhere.
    pub cache: Option<CacheSource>,
    /// The request itself if it is passed on; the prompt is empty then.
    #[serde(skip)]
    pub proxied: Option<ProxiedCall>,
}

/// Where a run's KV cache is exported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheSource {
    /// The engine that prefilled.
    pub address: SocketAddr,
    /// The run there.
    pub run: RunId,
}

/// What an engine reports of its load, some time after it was so.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The load.
    pub load: Load,
    /// How old the report is.
    pub age: Millis,
    /// The engine's incarnation.
    pub boot: Incarnation,
    /// Its role.
    pub role: Role,
    /// Whether it carries out an order.
    pub changing: bool,
    /// Whether it will go.
    pub leaving: bool,
    /// Adapters that it holds.
    pub adapters: Vec<AdapterId>,
}

/// An order with its fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The fencing number.
    pub number: Fence,
    /// What the engine is to do.
    pub order: Order,
    /// For whom it is, on a platform that asks for it.
    #[serde(skip)]
    pub context: Option<OrderContext>,
}

/// For whom a command is and on what condition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderContext {
    /// The engine; another one at its address does nothing.
    pub engine: EngineId,
    /// Who gives the order.
    pub by: Holder,
    /// Orders that the engine must have accepted before.
    pub before: Option<u64>,
}

/// Why an engine did not do what it was asked.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EngineError {
    /// It was not reached: nothing was sent.
    #[error("engine was not reached: {0}")]
    NotSent(String),
    /// It refused and did nothing.
    #[error("engine refused: {0}")]
    Refused(String),
    /// Another target answered at its address and did nothing.
    #[error("another target has the address")]
    Misdirected,
    /// It has seen a greater fencing number and did nothing.
    #[error("engine has seen fencing number {0}")]
    Fenced(Fence),
    /// The connection failed after the request was sent.
    #[error("engine was lost: {0}")]
    Lost(String),
    /// No answer came in time.
    #[error("engine gave no answer in time")]
    Timeout,
    /// The answer broke the protocol.
    #[error("engine's answer is malformed: {0}")]
    Malformed(String),
    /// Authority over the engine ended before anything was sent.
    #[error("authority has ended")]
    NoAuthority,
}

impl EngineError {
    /// Whether it is certain that the engine did nothing.
    pub fn not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Refused(_) | Self::Misdirected)
    }
}

impl From<CallError> for EngineError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(..) => Self::NotSent(error.to_string()),
            CallError::Lost(..) => Self::Lost(error.to_string()),
            CallError::Timeout(_) => Self::Timeout,
        }
    }
}

/// Pieces of an answer.
pub type Chunks = BoxStream<'static, Result<Chunk, EngineError>>;

/// Says at the last step before an order goes out whether authority still holds.
pub type Authority<'a> = &'a (dyn Fn() -> bool + Send + Sync);

/// A model engine.
pub trait Engine: Send + Sync {
    /// Begins a run and streams its answer.
    fn generate(&self, at: SocketAddr, job: Job) -> BoxFuture<'_, Result<Answer, EngineError>>;

    /// Prefills a prompt and keeps its KV cache for export under the name that is returned.
    fn prefill(&self, at: SocketAddr, job: Job) -> BoxFuture<'_, Result<RunId, EngineError>>;

    /// Streams the answer of a run again from offset `from`.
    fn resume<'a>(
        &'a self,
        at: SocketAddr,
        run: &'a RunId,
        from: u64,
    ) -> BoxFuture<'a, Result<Chunks, EngineError>>;

    /// Ends a run.
    fn cancel<'a>(
        &'a self,
        at: SocketAddr,
        run: &'a RunId,
    ) -> BoxFuture<'a, Result<(), EngineError>>;

    /// Reads the lagging load.
    fn load(&self, at: SocketAddr) -> BoxFuture<'_, Result<LoadReport, EngineError>>;

    /// Reads what the engine is now.
    fn report(&self, at: SocketAddr) -> BoxFuture<'_, Result<EngineReport, EngineError>>;

    /// Gives an order, if `authority` holds when the connection is there.
    fn order<'a>(
        &'a self,
        at: SocketAddr,
        command: Command,
        authority: Authority<'a>,
    ) -> BoxFuture<'a, Result<(), EngineError>>;

    /// Reads the cache events from number `from` on, as far as they are published.
    fn cache_events(
        &self,
        at: SocketAddr,
        from: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, EngineError>>;
}
