use {
    futures_util::future::BoxFuture,
    lentil_core::ids::{AdapterId, Bytes, ModelId, VersionId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    thiserror::Error,
};

/// An error of a reservation at the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WeightError {
    /// The transfer rate is used up; a new attempt can succeed after this time.
    #[error("weight store is busy for {0:?}")]
    Busy(Duration),
    /// The weight store could not be reached, or sent an invalid response.
    #[error("weight store is unavailable: {0}")]
    Unavailable(String),
}

/// Adapter weights to load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    /// Model that the adapter belongs to.
    pub model: ModelId,
    /// Adapter to load.
    pub adapter: AdapterId,
    /// Version of the adapter.
    pub version: VersionId,
    /// Size of the weights.
    pub size: Bytes,
}

/// Client for the platform's rate-limited weight store.
pub trait WeightStore: Send + Sync {
    /// Reserves transfer capacity so that an engine can load the weights now.
    fn reserve<'a>(&'a self, weights: &'a Weights) -> BoxFuture<'a, Result<(), WeightError>>;
}
