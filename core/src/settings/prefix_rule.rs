use serde::{Deserialize, Serialize};

/// Which services have the reuse of a cached prefix weighed against the wait at its engine. In the
/// others a fetch has a fixed cost. Either way, the service's configuration must give the capacity
/// of the engines' KV caches, the size of a token's entry, and the bandwidth of the links.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PrefixRule {
    /// Services whose targets are ordered by demand.
    #[default]
    Auto,
    /// All services.
    Weighed,
    /// No service.
    Fixed,
}
