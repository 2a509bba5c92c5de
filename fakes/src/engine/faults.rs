use {lentil_core::ids::Millis, std::time::Duration};

/// Faults injected into an engine.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Age of the load reports.
    pub report_lag: Millis,
    /// Delay after which a cache event becomes visible.
    pub cache_lag: Duration,
    /// Every n-th cache event is lost; 0 for none.
    pub cache_gap: u64,
    /// Every n-th chunk is sent twice; 0 for none.
    pub duplicate_every: u64,
    /// Every n-th chunk carries the id of another run; 0 for none.
    pub misattribute_every: u64,
    /// Number of chunks after which a stream is closed while the engine stays up; 0 for no limit.
    pub close_after: u64,
    /// Delay between applying an order and answering it.
    pub order_delay: Duration,
    /// Whether new runs are refused.
    pub refuse_runs: bool,
    /// Time after a crash for which the port stays open without an answer.
    pub crash_linger: Duration,
}

/// Capacity and initial state of an engine.
#[derive(Debug, Clone)]
pub struct EngineSetup {
    /// Prompt tokens prefilled per second.
    pub prefill_rate: f64,
    /// Time between two tokens of a run.
    pub token_interval: Duration,
    /// Number of requests that decode concurrently.
    pub slots: usize,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Whether orders with an outdated fencing number are refused.
    pub fenced: bool,
    /// Duration of a change of role or model.
    pub change_time: Duration,
    /// Version of the model at the start.
    pub version: String,
}

impl Default for EngineSetup {
    fn default() -> Self {
        Self {
            prefill_rate: 100_000.0,
            token_interval: Duration::from_millis(2),
            slots: 32,
            cache_blocks: 4_096,
            fenced: true,
            change_time: Duration::from_millis(300),
            version: "1".to_owned(),
        }
    }
}
