/// Who decides on the number of targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetPolicy {
    /// The fleet of the start, at full price.
    Fixed,
    /// Ordinary targets by thresholds on the utilization of the last seconds.
    Threshold,
    /// The decision of the daemon.
    Scaler,
}

/// Parameters of a simulation of targets that are ordered by demand.
#[derive(Debug, Clone)]
pub struct FleetSetup {
    /// Who decides.
    pub policy: FleetPolicy,
    /// Engines at the start.
    pub engines: usize,
    /// Long requests per second, and short ones.
    pub rates: (f64, f64),
    /// Prompt tokens per second of an engine.
    pub prefill: f64,
    /// Decode slots of an engine.
    pub slots: u32,
    /// Shared prefixes in use, and how many an engine's memory holds.
    pub prefixes: (usize, usize),
    /// Longest time to the first token of long and of short requests, in seconds.
    pub objectives: (f64, f64),
    /// Time of a burst of 1.9 times the demand that lasts 8 s, if there is one.
    pub burst: Option<f64>,
    /// Time at which all spot targets of the zone with the most of them are reclaimed.
    pub reclaim: Option<f64>,
    /// Length in seconds.
    pub length: f64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Result of a simulation.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetScore {
    /// Share of the requests whose first token came in time.
    pub goodput: f64,
    /// Seconds of all targets.
    pub target_seconds: f64,
    /// Their price, in seconds of a target at full price in a zone of price 1.
    pub price: f64,
    /// Share of the long prompts whose prefix was in memory.
    pub hits: f64,
    /// Orders.
    pub orders: usize,
    /// Targets at the end.
    pub targets: usize,
}
