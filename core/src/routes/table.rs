use {
    super::{CallerLimits, Route, ServiceConfig, WorkspaceTable},
    crate::ids::{Revision, ServiceId, Zone},
    std::{collections::BTreeMap, collections::HashMap, sync::Arc},
};

/// All routes and services of one configuration version.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// Revision of the configuration.
    pub version: Revision,
    /// Services by their identifiers.
    pub services: BTreeMap<ServiceId, ServiceConfig>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Workspaces of the callers; `None` if callers have no keys.
    pub workspaces: Option<WorkspaceTable>,
    /// Routes by host, then by path prefix.
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
}

impl RouteTable {
    /// Builds a table; of two routes with the same host and prefix, the first one is used.
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
        Self { version, services, limits, workspaces: None, hosts }
    }

    /// Adds the workspaces of the callers.
    #[must_use]
    pub fn with_workspaces(self, workspaces: Option<WorkspaceTable>) -> Self {
        Self { workspaces, ..self }
    }

    /// Checks that the prices of each service whose targets are ordered name all `zones`.
    ///
    /// # Errors
    /// A description of the first service and zone without a price.
    pub fn check_prices<'a>(
        &self,
        zones: impl IntoIterator<Item = &'a Zone> + Clone,
    ) -> Result<(), String> {
        let scaled = self.services.iter().filter_map(|(id, s)| Some((id, s.scaling.as_ref()?)));
        for (id, scaling) in scaled {
            let missing = zones.clone().into_iter().find(|z| !scaling.prices.contains_key(*z));
            if let Some(zone) = missing {
                return Err(format!("service {id:?}: autoscale: zone {zone:?} has no price"));
            }
        }
        Ok(())
    }

    /// Finds the route of a host with the longest prefix that matches the path.
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
        let mut prefix = path;
        while let Some(slash) = prefix.rfind('/') {
            if let Some(route) = prefixes.get(&prefix[..=slash]) {
                return Some(route);
            }
            prefix = &prefix[..slash];
        }
        None
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
