use {
    lentil_core::manifest::{ManifestIndex, ManifestRecord},
    std::sync::Arc,
};

/// The manifest that this instance currently follows.
#[derive(Debug, Clone)]
pub struct ActiveManifest {
    /// The manifest with its look-up tables.
    pub index: Arc<ManifestIndex>,
    /// The record as stored, with recent edits, for instances that pull it.
    pub record: Arc<ManifestRecord>,
}
