use crate::ids::{Bytes, Millis, Tokens};

/// What is configured of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceConfig {
    /// Connections that one target accepts from all callers together; zero: not limited.
    pub connections: u32,
    /// What its targets are if they are model engines.
    pub engine: Option<EngineConfig>,
}

/// What is configured of a service of model engines.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineConfig {
    /// Requests that one engine decodes at once.
    pub slots: u32,
    /// Tokens that the memory of one engine holds.
    pub memory: Tokens,
    /// KV cache of one token.
    pub token_bytes: Bytes,
    /// How long a prefilled prompt is kept until it is fetched.
    pub handle_ttl: Millis,
    /// How long a role change takes an engine away.
    pub role_change: Millis,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Size of a request's head.
    pub head: Bytes,
    /// Size of a request's body.
    pub body: Bytes,
    /// Time to send a head.
    pub head_timeout: Millis,
    /// Time that a connection may be idle.
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
