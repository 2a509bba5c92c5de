use {
    super::{diff, Change, Manifest},
    crate::ids::{Revision, WriterToken},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Maximum number of edits kept in a record.
pub const MAX_RECENT_EDITS: usize = 32;

/// The value stored under the manifest's key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ManifestRecord {
    /// Token of the write attempt that stored this value; unique for each attempt.
    pub writer: WriterToken,
    /// The manifest itself.
    pub manifest: Manifest,
    /// Most recent edits, oldest first, at most [`MAX_RECENT_EDITS`].
    pub recent: VecDeque<Edit>,
}

/// One accepted edit of the manifest.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Store revision that the edit is based on.
    pub base: Revision,
    /// Token of the write attempt that stored the edit.
    pub writer: WriterToken,
    /// Entries that the edit changed.
    pub changes: Vec<Change>,
}

impl ManifestRecord {
    /// Builds the record that replaces `old`, which was read at revision `base`, and appends the
    /// edit between the two manifests to it.
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
