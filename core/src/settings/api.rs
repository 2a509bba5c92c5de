use {
    crate::{ids::Millis, manifest::Problem},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The platform's API for reports and orders, each of which one instance at a time makes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApiSettings {
    /// Address of the API.
    pub address: SocketAddr,
    /// What the API is called for.
    pub duties: Vec<DutyKind>,
    /// Calls per second that the API accepts from all instances together.
    pub rate: f64,
    /// Length of a usage window, in seconds; set if usage is reported.
    #[serde(default)]
    pub window: Option<f64>,
    /// Time after the end of a window within which its usage must be reported, in seconds.
    #[serde(default)]
    pub deadline: Option<f64>,
    /// Whether the API refuses calls with a lower fencing number than it has seen.
    pub fenced: bool,
}

/// What the platform's API is called for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DutyKind {
    /// Reports of the workspaces' usage.
    UsageReport,
    /// Orders for targets.
    Autoscale,
    /// A kind that this build does not know.
    #[serde(other)]
    Unknown,
}

/// Bounds on the validity of callers' keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Time within which a change of the configuration takes effect.
    pub apply: Millis,
    /// Age of the configuration from which keys are refused, if `strict` is set.
    pub revoke: Millis,
    /// Whether an instance that can't read the configuration refuses all keys in the end.
    pub strict: bool,
}

impl Default for KeySettings {
    fn default() -> Self {
        Self { apply: Millis(3_000), revoke: Millis(0), strict: false }
    }
}

impl ApiSettings {
    /// Returns whether the API is called for `duty`.
    pub fn has(&self, duty: DutyKind) -> bool {
        self.duties.contains(&duty)
    }

    /// Returns all problems of the settings with their JSON paths.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut require = |ok: bool, path: &str, text: &str| {
            if !ok {
                problems.push(Problem::new(path, text));
            }
        };
        let reports = self.has(DutyKind::UsageReport);
        let window = self.window.is_some_and(|w| w > 0.0);
        require(!reports || window, "hosted.api.window", "must be greater than 0");
        let deadline = self.deadline.is_some_and(|d| d > 0.0);
        require(!reports || deadline, "hosted.api.deadline", "must be greater than 0");
        require(self.rate > 0.0, "hosted.api.rate", "must be greater than 0");
        problems
    }
}
