use crate::{
    ids::{Bytes, Tokens},
    routes::EngineConfig,
};

/// KV cache of a service's engines, and the links over which they fetch parts of it from each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KvCache {
    /// Capacity of one engine.
    pub memory: Tokens,
    /// Size of the entry of one token.
    pub token_bytes: Bytes,
    /// Bandwidth of an engine's link, in bytes per second.
    pub link: f64,
}

impl KvCache {
    /// Returns the KV cache of a configured engine; `None` if the configuration omits a part of it.
    ///
    /// ```
    /// # use lentil_core::{fleet::KvCache, ids::{Bytes, Tokens}, routes::EngineConfig};
    /// let mut engine = EngineConfig { memory: Tokens(300_000), ..EngineConfig::default() };
    /// assert_eq!(KvCache::from_config(&engine), None);
    /// engine.token_bytes = Bytes(100_000);
    /// engine.link = 1e11;
    /// let cache = KvCache::from_config(&engine).unwrap();
    /// assert_eq!(cache.transfer_s(Tokens(10_000), false), 0.01);
    /// assert_eq!(cache.transfer_s(Tokens(10_000), true), 0.02);
    /// ```
    pub fn from_config(engine: &EngineConfig) -> Option<Self> {
        let known = engine.memory.0 > 0 && engine.token_bytes.0 > 0 && engine.link > 0.0;
        let EngineConfig { memory, token_bytes, link, .. } = *engine;
        known.then_some(Self { memory, token_bytes, link })
    }

    /// Returns the seconds that a transfer of `tokens` occupies a link; between availability zones
    /// it takes twice as long.
    pub fn transfer_s(&self, tokens: Tokens, between_zones: bool) -> f64 {
        let bytes = tokens.0 as f64 * self.token_bytes.0 as f64;
        bytes / self.link * if between_zones { 2.0 } else { 1.0 }
    }
}
