use {
    super::EngineView,
    crate::ids::{Millis, ModelId, SoftwareVersion},
    serde::{Deserialize, Serialize},
};

/// A software version in a [`SoftwareRecord`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordedVersion {
    /// Service whose targets have or had the version.
    pub service: ModelId,
    /// The version.
    pub software: SoftwareVersion,
    /// Wall-clock time at which an instance found that no target has the version; `None` while there
    /// is one. It tells one departure from another. No age is derived from it, as the clocks of
    /// instances differ.
    pub gone: Option<Millis>,
}

impl RecordedVersion {
    /// Returns whether the target has this version.
    pub(super) fn is_of(&self, target: &EngineView) -> bool {
        target.model == self.service && target.software.as_ref() == Some(&self.software)
    }

    /// Returns whether both are the same version of the same service.
    pub(super) fn is_same_version(&self, other: &Self) -> bool {
        self.service == other.service && self.software == other.software
    }
}

/// Software versions that may have begun streams which callers still resume, as the store keeps them
/// for the case that all instances are lost.
///
/// ```
/// use lentil_core::fleet::SoftwareRecord;
///
/// let text = r#"[{"service":"large","software":"v2","gone":null}]"#;
/// let record: SoftwareRecord = serde_json::from_str(text).unwrap();
/// assert_eq!(record.versions()[0].software.as_str(), "v2");
/// assert_eq!(serde_json::to_string(&record).unwrap(), text);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareRecord {
    versions: Vec<RecordedVersion>,
}

impl SoftwareRecord {
    /// Returns the recorded versions.
    pub fn versions(&self) -> &[RecordedVersion] {
        &self.versions
    }
}

impl FromIterator<RecordedVersion> for SoftwareRecord {
    /// Collects versions into a record; a version with a target goes before one without.
    fn from_iter<I: IntoIterator<Item = RecordedVersion>>(versions: I) -> Self {
        let mut versions: Vec<RecordedVersion> = versions.into_iter().collect();
        versions.sort();
        versions.dedup_by(|later, first| later.is_same_version(first));
        Self { versions }
    }
}
