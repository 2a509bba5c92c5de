use {
    futures_util::future::BoxFuture,
    lentil_core::ids::{AdapterId, Bytes, ModelId, VersionId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    thiserror::Error,
};

/// Why the weight store gave no permit.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WeightError {
    /// Its rate is used up.
    #[error("the weight store is busy for {0:?}")]
    Busy(Duration),
    /// It was not reached.
    #[error("the weight store is not available: {0}")]
    Unavailable(String),
}

/// What is to be loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// The model.
    pub model: ModelId,
    /// The adapter.
    pub adapter: AdapterId,
    /// Its version.
    pub version: VersionId,
    /// Its size.
    pub size: Bytes,
}

/// The platform's rate-limited weight store.
pub trait WeightStore: Send + Sync {
    /// Asks for a part of the rate, so that an engine may load now.
    fn reserve<'a>(&'a self, weights: &'a Weights) -> BoxFuture<'a, Result<(), WeightError>>;
}
