use {
    super::{diff, Change, Manifest},
    crate::ids::{Revision, WriterToken},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Changes that a record keeps.
pub const MAX_RECENT_EDITS: usize = 32;

/// What the store holds under the manifest's key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ManifestRecord {
    /// Who wrote this value, unique for each attempt.
    pub writer: WriterToken,
    /// The manifest.
    pub manifest: Manifest,
    /// The latest edits, oldest first.
    pub recent: VecDeque<Edit>,
}

/// One accepted edit of the manifest.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Revision that it was made from.
    pub base: Revision,
    /// Who wrote it.
    pub writer: WriterToken,
    /// What it changed.
    pub changes: Vec<Change>,
}

impl ManifestRecord {
    /// The record that follows `old`, which was read at revision `base`.
    pub fn successor(
        old: Option<&Self>,
        base: Revision,
        manifest: Manifest,
        writer: WriterToken,
    ) -> Self {
        let mut recent = old.map(|r| r.recent.clone()).unwrap_or_default();
        let empty = Manifest::default();
        let before = old.map_or(&empty, |r| &r.manifest);
        let changes = diff(before, &manifest);
        recent.push_back(Edit { base, writer: writer.clone(), changes });
        while recent.len() > MAX_RECENT_EDITS {
            recent.pop_front();
        }
        Self { writer, manifest, recent }
    }
}
