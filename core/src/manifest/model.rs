use {
    crate::ids::{AdapterId, Bytes, VersionId},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// A model that engines serve.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Version that engines must serve.
    pub version: VersionId,
    /// Adapters that engines of the model can load.
    #[serde(default)]
    pub adapters: BTreeMap<AdapterId, AdapterSpec>,
}

/// An adapter of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// Version that engines must load.
    pub version: VersionId,
    /// Minimum number of engines that hold the adapter.
    pub copies: u32,
    /// Size of the adapter's weights.
    pub size: Bytes,
}
