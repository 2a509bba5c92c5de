use {
    super::HostedSettings,
    crate::{
        ids::{Bytes, InstanceId, Millis, Region, Zone},
        intake::{IntakeShares, Megabytes},
        manifest::{parse_json, Problem},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Minimum length of the mesh key.
pub const MIN_MESH_KEY_BYTES: usize = 16;

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Unique name of the instance.
    pub instance: InstanceId,
    /// Region of the instance.
    pub region: Region,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Communication with the other instances.
    pub mesh: MeshSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Control of the engines.
    #[serde(default)]
    pub control: ControlSettings,
    /// Records of run-once requests.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// Settings for a hosting platform that provides targets and routes; absent elsewhere.
    #[serde(default)]
    pub hosted: Option<HostedSettings>,
    /// Minimum level of log lines: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_log_level")]
    pub log: String,
}

fn default_log_level() -> String {
    "info".to_owned()
}

/// Settings of the mesh, over which instances communicate with each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshSettings {
    /// Address for both UDP datagrams and TCP connections.
    pub listen: SocketAddr,
    /// Secret shared by all instances; a hosted instance reads it from the store.
    #[serde(default)]
    pub key: String,
    /// Interval between heartbeats.
    #[serde(default = "default_heartbeat_interval")]
    pub beat: Millis,
    /// Address for requests that other instances relay; without one, none are relayed.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
}

fn default_heartbeat_interval() -> Millis {
    Millis(250)
}

/// Addresses of the platform's services, and the timeout of calls to them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the instance list, which names live and leaving instances.
    pub list: SocketAddr,
    /// Address of the weight store, if there is one.
    #[serde(default)]
    pub weights: Option<SocketAddr>,
    /// Timeout of calls to the platform's services.
    #[serde(default = "default_call_timeout")]
    pub timeout: Millis,
}

fn default_call_timeout() -> Millis {
    Millis(1_000)
}

/// Limits on callers' requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum size of a request body.
    pub body: Bytes,
    /// Maximum number of requests in progress.
    pub open: usize,
    /// Retry budget, as a fraction of new requests.
    pub retries: f64,
    /// Maximum time for running answers to finish when the instance stops.
    pub drain: Millis,
    /// Memory that the process may use; limits on what callers make it hold follow from it.
    pub memory: Megabytes,
    /// File descriptors that the process may open; by default the limit that the system sets.
    pub descriptors: Option<u64>,
}

/// Least memory of a process.
const MIN_MEMORY: Megabytes = Megabytes(32.0);
/// Least number of file descriptors of a process.
const MIN_DESCRIPTORS: u64 = 64;

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body: Bytes(1 << 20),
            open: 4_096,
            retries: 0.1,
            drain: Millis(60_000),
            // The smallest machine that instances are built for.
            memory: Megabytes(120.0),
            descriptors: None,
        }
    }
}

impl LimitSettings {
    /// Divides memory and descriptors; `system` is the system's limit on descriptors.
    pub fn shares(&self, system: u64) -> IntakeShares {
        IntakeShares::new(self.memory, self.descriptors.unwrap_or(system))
    }
}

/// Settings of the control loop that sends orders to engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// Duration of a cell's lease.
    pub lease: Millis,
    /// Safety margin at the end of the lease that is left unused because clocks may drift apart.
    pub margin: Millis,
    /// Interval at which the demand is evaluated.
    pub period: Millis,
    /// Timeout of an engine's answer to an order.
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

/// Settings of the claims, the stored records of run-once requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSettings {
    /// Number of store values across which claims are distributed.
    pub buckets: u32,
    /// Maximum time for which claims for the same store value are batched.
    pub gather: Millis,
    /// Retention time of a finished claim.
    pub keep: Millis,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self { buckets: 32, gather: Millis(4), keep: Millis(3_600_000) }
    }
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    /// Returns the first syntax or type error with its JSON path, or all problems found by
    /// [`Settings::check`].
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let settings: Self = parse_json(text).map_err(|p| vec![p])?;
        let problems = settings.check();
        if problems.is_empty() {
            return Ok(settings);
        }
        Err(problems)
    }

    /// Returns all semantic problems of the settings with their JSON paths.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut require = |ok: bool, path: &str, text: &str| {
            if !ok {
                problems.push(Problem::new(path, text));
            }
        };
        let levels = ["error", "warn", "info", "debug"];
        require(levels.contains(&self.log.as_str()), "log", "must be error, warn, info or debug");
        let key_valid = self.mesh.key.len() >= MIN_MESH_KEY_BYTES || self.hosted.is_some();
        require(key_valid, "mesh.key", "key must have at least 16 bytes");
        require(self.mesh.beat.0 >= 10, "mesh.beat", "must be at least 10 ms");
        let relay_free = self.mesh.relay != Some(self.mesh.listen) || self.mesh.listen.port() == 0;
        require(relay_free, "mesh.relay", "must differ from mesh.listen");
        require(self.limits.body.0 > 0, "limits.body", "must be greater than 0");
        require(self.limits.open > 0, "limits.open", "must be greater than 0");
        require(self.limits.memory >= MIN_MEMORY, "limits.memory", "must be at least 32 MB");
        let descriptors_valid = self.limits.descriptors.is_none_or(|d| d >= MIN_DESCRIPTORS);
        require(descriptors_valid, "limits.descriptors", "must be at least 64");
        let retries_valid = (0.0..=0.1).contains(&self.limits.retries);
        require(retries_valid, "limits.retries", "must lie between 0 and 0.1");
        let margin_valid = self.control.margin.0 * 2 < self.control.lease.0;
        require(margin_valid, "control.margin", "must be less than half of control.lease");
        require(self.claims.buckets > 0, "claims.buckets", "must be greater than 0");
        problems.extend(self.hosted.iter().flat_map(HostedSettings::check));
        problems
    }
}
