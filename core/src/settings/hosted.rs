use {
    super::{ApiSettings, KeySettings, PrefixRule},
    crate::{
        ids::{Millis, Region, Zone},
        manifest::Problem,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Settings of an instance on a hosting platform, which provides its targets and routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostedSettings {
    /// Address on which the load balancer's readiness probes are answered.
    pub ready: SocketAddr,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
    /// Region of each availability zone.
    pub zones: BTreeMap<Zone, Region>,
    /// Resend budget of all instances together.
    pub resends: ResendSettings,
    /// Time within which all instances must stop sending new work to a leaving target.
    pub drain: Millis,
    /// Time between the stop signal and the forced end of the process, in seconds.
    pub grace: f64,
    /// The platform's API for reports and orders, if there is one.
    #[serde(default)]
    pub api: Option<ApiSettings>,
    /// Bounds on the validity of callers' keys.
    #[serde(default)]
    pub keys: Option<KeySettings>,
    /// Services whose cached prefixes are weighed against the wait.
    #[serde(default)]
    pub prefixes: PrefixRule,
    /// Lease duration of this instance's presence record.
    #[serde(default = "default_presence_ttl")]
    pub presence: Millis,
    /// Minimum number of instances in a region for a single region watcher to follow the target
    /// directory on behalf of all of them.
    #[serde(default = "default_watched_region_size")]
    pub crowd: usize,
}

fn default_watched_region_size() -> usize {
    // In smaller regions, the reads of all instances together are few.
    16
}

fn default_presence_ttl() -> Millis {
    // Leaves time for three renewals, each of which may be delayed once by a slow store.
    Millis(4_000)
}

/// Budget of resends (retries on another target) for each service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResendSettings {
    /// Resends allowed per request.
    pub ratio: f64,
    /// Additional resends allowed in each window, for all instances together.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window: f64,
}

impl HostedSettings {
    /// Returns all problems of the settings with their JSON paths.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut require = |ok: bool, path: &str, text: &str| {
            if !ok {
                problems.push(Problem::new(path, text));
            }
        };
        require(self.drain.0 >= 500, "hosted.drain", "must be at least 500 ms");
        require(self.grace > 0.0, "hosted.grace", "must be greater than 0");
        let ratio = (0.0..=1.0).contains(&self.resends.ratio);
        require(ratio, "hosted.resends.ratio", "must lie between 0 and 1");
        require(self.resends.slack >= 0.0, "hosted.resends.slack", "must not be negative");
        require(self.resends.window > 0.0, "hosted.resends.window", "must be greater than 0");
        require(self.crowd >= 2, "hosted.crowd", "must be at least 2");
        require(self.presence.0 >= 1_000, "hosted.presence", "must be at least 1000 ms");
        problems.extend(self.api.iter().flat_map(ApiSettings::check));
        problems
    }
}
