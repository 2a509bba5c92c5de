use {
    crate::{
        ids::{Alias, Millis, ServiceId},
        manifest::{ClassSpec, Repeat},
    },
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
};

/// Rules for requests to one host whose paths start with a prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: Alias,
    /// Value of the `Host` header without the port.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Services among which requests are distributed, with their weights.
    pub services: SmallVec<[(ServiceId, f64); 2]>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether answers are event streams.
    pub streams: bool,
    /// Whether an interrupted stream may be resumed after its last event on another target.
    pub resumable: bool,
    /// Maximum number of targets to which a request may be sent.
    pub attempts: u32,
    /// Maximum time until the answer is complete.
    pub timeout: Millis,
    /// Longest time without output, before the first output as well, after which callers
    /// disconnect.
    pub idle_timeout: Millis,
    /// Latency objectives and priority of the route's requests.
    pub class: ClassSpec,
}

impl Route {
    /// Selects a service at random, in proportion to the weights; `draw` is a random number in
    /// 0..1.
    ///
    /// ```
    /// # use lentil_core::routes::{Route, sample_route};
    /// let mut route = sample_route("a.example", "/x/", "s");
    /// route.services.push(("t".parse().unwrap(), 3.0));
    /// assert_eq!(route.service(0.1).unwrap().as_str(), "s");
    /// assert_eq!(route.service(0.9).unwrap().as_str(), "t");
    /// ```
    pub fn service(&self, draw: f64) -> Option<&ServiceId> {
        let total: f64 = self.services.iter().map(|(_, w)| w).sum();
        let mut remaining = draw * total;
        for (service, weight) in &self.services {
            remaining -= weight;
            if remaining < 0.0 {
                return Some(service);
            }
        }
        self.services.last().map(|(service, _)| service)
    }

    /// Returns whether a request that may have run can be resent to another target, as long as its
    /// answer has not begun.
    pub fn repeatable(&self) -> bool {
        self.repeat == Repeat::Always || (self.streams && self.resumable)
    }
}

/// Builds a route for examples and tests, with one service, one attempt and a timeout of a second.
///
/// # Panics
/// Panics if `service` is not a valid name.
pub fn sample_route(host: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: "r".parse().expect("valid route name"),
        host: host.into(),
        prefix: prefix.into(),
        services: SmallVec::from_iter([(service.parse().expect("valid service name"), 1.0)]),
        repeat: Repeat::Never,
        streams: false,
        resumable: false,
        attempts: 1,
        timeout: Millis(1_000),
        idle_timeout: Millis(1_000),
        class: ClassSpec {
            first: Millis(100),
            between: Millis(1_000),
            deadline: Millis(1_000),
            priority: 0,
        },
    }
}
