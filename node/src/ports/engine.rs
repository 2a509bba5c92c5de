use {
    futures_util::{future::BoxFuture, stream::BoxStream},
    lentil_core::{
        fleet::{CacheEvent, Load},
        ids::{AdapterId, Fence, Incarnation, Millis, ModelId, RunId},
        manifest::Role,
        order::{EngineReport, Order},
        stream::Chunk,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    thiserror::Error,
};

/// A request as an engine runs it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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

/// Pieces of an answer.
pub type Chunks = BoxStream<'static, Result<Chunk, EngineError>>;

/// Says at the last step before an order goes out whether authority still holds.
pub type Authority<'a> = &'a (dyn Fn() -> bool + Send + Sync);

/// A model engine.
pub trait Engine: Send + Sync {
    /// Begins a run and streams its answer.
    fn generate(&self, at: SocketAddr, job: Job) -> BoxFuture<'_, Result<Chunks, EngineError>>;

    /// Prefills a prompt and keeps its KV cache for export.
    fn prefill(&self, at: SocketAddr, job: Job) -> BoxFuture<'_, Result<(), EngineError>>;

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
    ) -> BoxFuture<'a, Result<EngineReport, EngineError>>;

    /// Reads the cache events from number `from` on, as far as they are published.
    fn cache_events(
        &self,
        at: SocketAddr,
        from: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, EngineError>>;
}
