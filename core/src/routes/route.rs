use {
    crate::{
        ids::{Alias, Millis, ServiceId},
        manifest::{ClassSpec, Repeat},
    },
    smallvec::SmallVec,
};

/// Rules for the requests of one host below one path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Alias,
    /// Value of the `Host` header, without a port.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// Services that share the route's requests, with their weights.
    pub services: SmallVec<[(ServiceId, f64); 2]>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// Whether a stream that broke off may go on from its last event on another target.
    pub resumable: bool,
    /// Targets that may run one request at most.
    pub attempts: u32,
    /// Longest time until the final answer.
    pub timeout: Millis,
    /// Longest time without a piece, before the first as well, after which callers leave.
    pub silence: Millis,
    /// Objectives and rank, as a request's class.
    pub class: ClassSpec,
}

impl Route {
    /// The service for a request; `draw` is a random number in 0..1.
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
        let mut left = draw * total;
        for (service, weight) in &self.services {
            left -= weight;
            if left < 0.0 {
                return Some(service);
            }
        }
        self.services.last().map(|(service, _)| service)
    }

    /// Whether a request that may have run can be sent to another target before its answer began.
    pub fn repeatable(&self) -> bool {
        self.repeat == Repeat::Always || (self.streams && self.resumable)
    }
}

/// A route for examples and tests: one service, one attempt, answers within a second.
///
/// # Panics
/// If `service` is not a name.
pub fn sample_route(host: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: "r".parse().expect("a letter is a name"),
        host: host.into(),
        prefix: prefix.into(),
        services: SmallVec::from_iter([(service.parse().expect("service is a name"), 1.0)]),
        repeat: Repeat::Never,
        streams: false,
        resumable: false,
        attempts: 1,
        timeout: Millis(1_000),
        silence: Millis(1_000),
        class: ClassSpec {
            first: Millis(100),
            between: Millis(1_000),
            deadline: Millis(1_000),
            priority: 0,
        },
    }
}
