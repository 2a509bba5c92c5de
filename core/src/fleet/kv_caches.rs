use {
    super::KvCache,
    crate::{
        ids::{ModelId, ServiceId},
        routes::ServiceConfig,
        settings::PrefixRule,
    },
    std::collections::{BTreeMap, HashMap},
};

/// KV caches of the services for which the reuse of a cached prefix is weighed against the wait.
#[derive(Debug, Clone, Default)]
pub struct KvCaches {
    rule: PrefixRule,
    /// Services with a complete configuration, and whether their targets are ordered by demand.
    configured: HashMap<ModelId, (KvCache, bool)>,
}

impl KvCaches {
    /// Takes over the services of a configuration.
    pub fn configure(&mut self, services: &BTreeMap<ServiceId, ServiceConfig>, rule: PrefixRule) {
        let configured = services.iter().filter_map(|(id, service)| {
            let cache = KvCache::from_config(service.engine.as_ref()?)?;
            Some((id.as_str().parse().ok()?, (cache, service.scaling.is_some())))
        });
        (self.rule, self.configured) = (rule, configured.collect());
    }

    /// Returns the KV cache of a service's engines, if cached prefixes are weighed there.
    pub fn of(&self, service: &ModelId) -> Option<KvCache> {
        let (cache, scaled) = self.configured.get(service)?;
        let weighed = match self.rule {
            PrefixRule::Auto => *scaled,
            PrefixRule::Weighed => true,
            PrefixRule::Fixed => false,
        };
        weighed.then_some(*cache)
    }
}
