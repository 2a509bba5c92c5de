use {
    lentil_core::manifest::{ManifestIndex, ManifestRecord},
    std::sync::Arc,
};

/// The manifest in force.
#[derive(Debug, Clone)]
pub struct ActiveManifest {
    /// With its look-ups.
    pub index: Arc<ManifestIndex>,
    /// As the store holds it, for instances that pull it.
    pub record: Arc<ManifestRecord>,
}
