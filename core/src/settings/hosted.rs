use {
    crate::{
        ids::{Millis, Region, Zone},
        manifest::Problem,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Settings of an instance on a platform that gives it targets and routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostedSettings {
    /// Where the balancer asks whether this instance is ready.
    pub ready: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Region of each availability zone.
    pub zones: BTreeMap<Zone, Region>,
    /// Resends that all instances together may make.
    pub resends: ResendSettings,
    /// Time within which a leaving target must get no new work.
    pub drain: Millis,
    /// Time from a stop signal until the process is killed, in seconds.
    pub grace: f64,
    /// Lease of this instance's entry among the instances.
    #[serde(default = "default_presence")]
    pub presence: Millis,
    /// Instances of a region from which on one of them looks at the directory of targets for all.
    #[serde(default = "default_crowd")]
    pub crowd: usize,
}

fn default_crowd() -> usize {
    // Below it all looks together are few.
    16
}

fn default_presence() -> Millis {
    // Three renewals, each of which may meet a slow store once.
    Millis(4_000)
}

/// Allowance of requests that are sent to a further target, for each service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResendSettings {
    /// Resends for each request.
    pub ratio: f64,
    /// Resends beside those, in each window, by all instances together.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window: f64,
}

impl HostedSettings {
    /// Everything that is wrong with the settings, by path.
    pub fn check(&self) -> Vec<Problem> {
        let mut found = Vec::new();
        let mut require = |ok: bool, path: &str, text: &str| {
            if !ok {
                found.push(Problem::new(path, text));
            }
        };
        require(self.drain.0 >= 500, "hosted.drain", "shorter than 500 ms");
        require(self.grace > 0.0, "hosted.grace", "must be greater than 0");
        let ratio = (0.0..=1.0).contains(&self.resends.ratio);
        require(ratio, "hosted.resends.ratio", "must lie between 0 and 1");
        require(self.resends.slack >= 0.0, "hosted.resends.slack", "must not be negative");
        require(self.resends.window > 0.0, "hosted.resends.window", "must be greater than 0");
        require(self.crowd >= 2, "hosted.crowd", "must be at least 2");
        require(self.presence.0 >= 1_000, "hosted.presence", "shorter than 1000 ms");
        found
    }
}
