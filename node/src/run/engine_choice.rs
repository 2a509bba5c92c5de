use {
    crate::ports::{CacheSource, Target},
    lentil_core::ids::{RunId, Tokens},
};

/// Engines chosen for an attempt.
#[derive(Debug, Clone)]
pub(super) struct EngineChoice {
    pub(super) decode: Target,
    pub(super) prefill: Option<Target>,
    /// Prompt tokens left to prefill after the prefix cache hit.
    pub(super) prefill_tokens: Tokens,
    /// Whether that hit is only assumed.
    pub(super) assumed: bool,
    /// Engine from which the prefilling one fetches the KV cache of the prompt's shared prefix.
    pub(super) fetch_from: Option<Target>,
}

impl EngineChoice {
    /// Creates the choice of another instance, which chooses the engines.
    pub(super) fn relayed(instance: Target) -> Self {
        Self {
            decode: instance,
            prefill: None,
            prefill_tokens: Tokens(0),
            assumed: false,
            fetch_from: None,
        }
    }
}

/// A run that goes on at another engine, which fetches its KV cache from the first one.
#[derive(Debug, Clone)]
pub(super) struct MigratedRun {
    /// Engine that began the run.
    pub(super) engine: Target,
    /// Name of the run there.
    pub(super) run: RunId,
}

impl MigratedRun {
    pub(super) fn source(&self) -> CacheSource {
        CacheSource { address: self.engine.address, run: self.run.clone() }
    }
}
