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
    /// Delay between applying an order and responding to it.
    pub order_delay: Duration,
    /// Whether new runs are refused.
    pub refuse_runs: bool,
    /// Time after a crash for which the port stays open without a response.
    pub crash_linger: Duration,
}
