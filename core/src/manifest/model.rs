use {
    crate::ids::{AdapterId, Bytes, VersionId},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// A model that is served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// The version in service.
    pub version: VersionId,
    /// Adapters that can be loaded beside it.
    #[serde(default)]
    pub adapters: BTreeMap<AdapterId, AdapterSpec>,
}

/// An adapter of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// The version in service.
    pub version: VersionId,
    /// Engines that hold it at least.
    pub copies: u32,
    /// Size of its weights.
    pub size: Bytes,
}
