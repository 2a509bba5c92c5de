use {
    super::{CallerLimits, Route, ServiceConfig},
    crate::ids::{Revision, ServiceId},
    std::{collections::BTreeMap, collections::HashMap, sync::Arc},
};

/// All routes and services of one version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// The version.
    pub version: Revision,
    /// The services.
    pub services: BTreeMap<ServiceId, ServiceConfig>,
    /// What callers may send.
    pub limits: CallerLimits,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
}

impl RouteTable {
    /// A table of routes; of two with the same host and prefix the first one holds.
    pub fn new(
        version: Revision,
        routes: impl IntoIterator<Item = Route>,
        services: BTreeMap<ServiceId, ServiceConfig>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in routes {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.entry(route.prefix.clone()).or_insert_with(|| Arc::new(route));
        }
        Self { version, services, limits, hosts }
    }

    /// The route of a host with the longest prefix that begins the path.
    ///
    /// ```
    /// # use lentil_core::routes::{sample_route, RouteTable};
    /// let (short, long) = ("/x/", "/x/y/");
    /// let routes = [sample_route("a.example", short, "s"), sample_route("a.example", long, "t")];
    /// let table = RouteTable::new(Default::default(), routes, Default::default(), Default::default());
    /// assert_eq!(table.route("a.example", "/x/y/z").unwrap().prefix, "/x/y/");
    /// assert!(table.route("a.example", "/w").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(route) = prefixes.get(&rest[..=slash]) {
                return Some(route);
            }
            rest = &rest[..slash];
        }
        None
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
