use {
    super::KvCache,
    crate::{
        ids::{ModelId, ServiceId},
        routes::ServiceConfig,
        settings::PrefixRule,
    },
    std::collections::{BTreeMap, HashMap, HashSet},
};

/// KV caches of the services for which the reuse of a cached prefix is weighed against the wait.
#[derive(Debug, Clone, Default)]
pub struct KvCaches {
    rule: PrefixRule,
    /// Services with a complete configuration, and whether their targets are ordered by demand.
    configured: HashMap<ModelId, (KvCache, bool)>,
    /// Services whose targets announce their pace.
    paced: HashSet<ModelId>,
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

    /// Records that a target of a service announces its pace; returns whether that is new.
    pub fn record_paced(&mut self, service: &ModelId) -> bool {
        !self.paced.contains(service) && self.paced.insert(service.clone())
    }

    /// Returns the KV cache of a service's engines, if cached prefixes are weighed there.
    pub fn of(&self, service: &ModelId) -> Option<KvCache> {
        let (cache, scaled) = self.configured.get(service)?;
        let weighed = match self.rule {
            PrefixRule::Auto => *scaled || self.paced.contains(service),
            PrefixRule::Weighed => true,
            PrefixRule::Fixed => false,
        };
        weighed.then_some(*cache)
    }
}
