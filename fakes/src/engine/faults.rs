use {lentil_core::ids::Millis, std::time::Duration};

/// What goes wrong with an engine.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// Reports of the load are so old.
    pub lag: Millis,
    /// Cache events show so much later.
    pub cache_lag: Duration,
    /// Every n-th cache event is lost; 0 for none.
    pub cache_gap: u64,
    /// Every n-th chunk is sent twice; 0 for none.
    pub repeat: u64,
    /// Every n-th chunk bears the name of another run; 0 for none.
    pub cross: u64,
    /// A stream is closed after so many chunks, though the engine lives; 0 for never.
    pub cut: u64,
    /// An order is carried out but its answer is held back for this long.
    pub slow_orders: Duration,
    /// It refuses new runs.
    pub refuse: bool,
    /// After a crash its port stays open for this long and nothing is answered.
    pub dying: Duration,
}

/// What an engine is made of.
#[derive(Debug, Clone)]
pub struct EngineSetup {
    /// Prompt tokens per second.
    pub prefill: f64,
    /// Time between tokens.
    pub step: Duration,
    /// Requests that decode at once.
    pub slots: usize,
    /// Blocks that the prefix cache holds.
    pub blocks: usize,
    /// Whether old fencing numbers are refused.
    pub fenced: bool,
    /// Time that a role change takes.
    pub change: Duration,
    /// Version of the model that it starts with.
    pub version: String,
}

impl Default for EngineSetup {
    fn default() -> Self {
        Self {
            prefill: 100_000.0,
            step: Duration::from_millis(2),
            slots: 32,
            blocks: 4_096,
            fenced: true,
            change: Duration::from_millis(300),
            version: "1".to_owned(),
        }
    }
}
