use std::time::Duration;

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
