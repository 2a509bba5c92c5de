use {
    super::HostedSettings,
    crate::{
        ids::{Bytes, InstanceId, Millis, Region, Zone},
        manifest::{parse_json, Problem},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Shortest mesh key, in bytes.
pub const MIN_MESH_KEY_BYTES: usize = 16;

/// Settings of one entry instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Its region.
    pub region: Region,
    /// Its availability zone.
    pub zone: Zone,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// How instances reach each other.
    pub mesh: MeshSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Limits towards callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// How orders are given.
    #[serde(default)]
    pub control: ControlSettings,
    /// How run-once requests are recorded.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// Present on a platform that gives the instance its targets and routes.
    #[serde(default)]
    pub hosted: Option<HostedSettings>,
    /// Least level of logged lines: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log")]
    pub log: String,
}

fn default_log() -> String {
    "info".to_owned()
}

/// How instances reach each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshSettings {
    /// Address for both datagrams and connections.
    pub listen: SocketAddr,
    /// Secret that all instances share; a hosted instance reads it from the store.
    #[serde(default)]
    pub key: String,
    /// Time between heartbeats.
    #[serde(default = "default_beat")]
    pub beat: Millis,
}

fn default_beat() -> Millis {
    Millis(250)
}

/// Where the platform's services are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The key-value service.
    pub store: SocketAddr,
    /// The list of live and leaving instances.
    pub list: SocketAddr,
    /// The weight store.
    #[serde(default)]
    pub weights: Option<SocketAddr>,
    /// Longest wait for an answer of the platform.
    #[serde(default = "default_call")]
    pub timeout: Millis,
}

fn default_call() -> Millis {
    Millis(1_000)
}

/// Limits towards callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest body of a request.
    pub body: Bytes,
    /// Requests in work at once.
    pub open: usize,
    /// Retries as a share of fresh requests.
    pub retries: f64,
    /// Longest time for running answers to end when the instance stops.
    pub drain: Millis,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { body: Bytes(1 << 20), open: 4_096, retries: 0.1, drain: Millis(60_000) }
    }
}

/// How orders are given.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// Length of a cell's lease.
    pub lease: Millis,
    /// Part of the lease that is given up for clocks that run apart.
    pub margin: Millis,
    /// Time between two looks at the demand.
    pub period: Millis,
    /// Longest wait for an engine's answer to an order.
    pub order: Millis,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            lease: Millis(6_000),
            margin: Millis(1_000),
            period: Millis(1_000),
            order: Millis(10_000),
        }
    }
}

/// How run-once requests are recorded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSettings {
    /// Store values that claims are spread over.
    pub buckets: u32,
    /// Longest time in which claims for one store value are gathered.
    pub gather: Millis,
    /// Time for which an ended claim is kept.
    pub keep: Millis,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self { buckets: 32, gather: Millis(4), keep: Millis(3_600_000) }
    }
}

impl Settings {
    /// Reads settings and checks them.
    ///
    /// # Errors
    /// The first fault of form with its JSON path, or every fault of content.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let settings: Self = parse_json(text).map_err(|p| vec![p])?;
        let problems = settings.check();
        if problems.is_empty() {
            return Ok(settings);
        }
        Err(problems)
    }

    /// Every fault of content.
    pub fn check(&self) -> Vec<Problem> {
        let mut found = Vec::new();
        let mut require = |ok: bool, path: &str, text: &str| {
            if !ok {
                found.push(Problem::new(path, text));
            }
        };
        let levels = ["error", "warn", "info", "debug"];
        require(levels.contains(&self.log.as_str()), "log", "no such level");
        let key = self.mesh.key.len() >= MIN_MESH_KEY_BYTES || self.hosted.is_some();
        require(key, "mesh.key", "key has fewer than 16 bytes");
        require(self.mesh.beat.0 >= 10, "mesh.beat", "shorter than 10 ms");
        require(self.limits.body.0 > 0, "limits.body", "must be greater than 0");
        require(self.limits.open > 0, "limits.open", "must be greater than 0");
        let share = (0.0..=0.1).contains(&self.limits.retries);
        require(share, "limits.retries", "must lie between 0 and 0.1");
        let margin = self.control.margin.0 * 2 < self.control.lease.0;
        require(margin, "control.margin", "must be less than half of control.lease");
        require(self.claims.buckets > 0, "claims.buckets", "must be greater than 0");
        found.extend(self.hosted.iter().flat_map(HostedSettings::check));
        found
    }
}
