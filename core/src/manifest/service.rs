use {
    crate::ids::{Millis, TargetId, Zone},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// A plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Its back ends.
    pub targets: BTreeMap<TargetId, TargetSpec>,
    /// Which calls may be repeated; the first rule that fits is taken.
    #[serde(default)]
    pub rules: Vec<RepeatRule>,
    /// How long one call may take.
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
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
}

/// Says of some calls whether they may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RepeatRule {
    /// HTTP method.
    pub method: String,
    /// Start of the path within the service, as in `/alerts`.
    pub prefix: String,
    /// Whether the call may be repeated.
    pub repeat: Repeat,
}

/// Whether a call may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// It is idempotent.
    Always,
    /// It runs at most once.
    Never,
    /// It runs at most once and is refused without an `Idempotency-Key`.
    Keyed,
}

impl ServiceSpec {
    /// Whether a call may be repeated; without a rule only reads may.
    pub fn repeat(&self, method: &str, path: &str) -> Repeat {
        let fits = |r: &&RepeatRule| r.method == method && path.starts_with(&r.prefix);
        if let Some(rule) = self.rules.iter().find(fits) {
            return rule.repeat;
        }
        match method {
            "GET" | "HEAD" => Repeat::Always,
            _ => Repeat::Never,
        }
    }
}
