use {
    crate::ids::{Bytes, Millis, Tokens, Zone},
    std::collections::BTreeMap,
};

/// Configuration of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceConfig {
    /// Maximum number of connections that one target accepts from all its clients together; 0 means
    /// unlimited.
    pub connections: u32,
    /// Engine configuration, if the targets are model engines.
    pub engine: Option<EngineConfig>,
    /// Bounds and prices of targets that are ordered by demand; a service without them keeps its
    /// fixed fleet.
    pub scaling: Option<ScalingConfig>,
}

/// Configuration of a service whose targets are ordered by demand.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ScalingConfig {
    /// Fewest targets in each availability zone.
    pub min: u32,
    /// Most targets in each availability zone.
    pub max: u32,
    /// Time from the order for a target until it serves.
    pub boot: Millis,
    /// Price of a target that may be reclaimed, relative to that of another one; `None` if there
    /// are no such targets.
    pub spot: Option<f64>,
    /// Price of a target in each availability zone.
    pub prices: BTreeMap<Zone, f64>,
}

/// Configuration of a service whose targets are model engines.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineConfig {
    /// Number of requests that an engine can decode concurrently.
    pub slots: u32,
    /// Capacity of an engine's KV cache.
    pub memory: Tokens,
    /// Size of the KV cache entry of one token.
    pub token_bytes: Bytes,
    /// Time for which an engine keeps a prefilled prompt to be fetched.
    pub handle_ttl: Millis,
    /// Time for which a role change makes an engine unavailable.
    pub role_change: Millis,
    /// Bandwidth of an engine's link for transfers of KV caches, in bytes per second; zero if
    /// unknown.
    pub link: f64,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub head: Bytes,
    /// Maximum size of a request body.
    pub body: Bytes,
    /// Maximum time for sending a request head.
    pub head_timeout: Millis,
    /// Maximum idle time of a connection.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head: Bytes(16 << 10),
            body: Bytes(4 << 20),
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}
