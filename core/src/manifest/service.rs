use {
    crate::ids::{Millis, TargetId, Zone},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// A plain service and its back ends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Back ends of the service.
    pub targets: BTreeMap<TargetId, TargetSpec>,
    /// Rules on which calls may be repeated; the first matching rule applies.
    #[serde(default)]
    pub rules: Vec<RepeatRule>,
    /// Maximum duration of a call.
    #[serde(default = "default_timeout")]
    pub timeout: Millis,
}

fn default_timeout() -> Millis {
    Millis(10_000)
}

/// A back end of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Address at which the target listens.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: Zone,
}

/// Rule that states whether the calls it matches may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RepeatRule {
    /// HTTP method to match.
    pub method: String,
    /// Prefix to match of the path within the service, such as `/alerts`.
    pub prefix: String,
    /// Whether matching calls may be repeated.
    pub repeat: Repeat,
}

/// Whether a call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The call is idempotent and may run any number of times.
    Always,
    /// The call may run at most once.
    Never,
    /// The call may run at most once and is rejected without an `Idempotency-Key`.
    Keyed,
}

impl ServiceSpec {
    /// Returns whether a call may be repeated. Without a matching rule, only `GET` and `HEAD` calls
    /// may.
    pub fn repeat(&self, method: &str, path: &str) -> Repeat {
        let matches = |r: &&RepeatRule| r.method == method && path.starts_with(&r.prefix);
        if let Some(rule) = self.rules.iter().find(matches) {
            return rule.repeat;
        }
        match method {
            "GET" | "HEAD" => Repeat::Always,
            _ => Repeat::Never,
        }
    }
}
