use {
    crate::ids::Incarnation,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Versions of the protocol between instances that a build understands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRange {
    /// Lowest version.
    pub min: u32,
    /// Highest version.
    pub max: u32,
}

impl VersionRange {
    /// Versions that this build understands.
    pub const OWN: Self = Self { min: 1, max: 2 };
    /// Versions that a build understands which announces none.
    pub const UNANNOUNCED: Self = Self { min: 1, max: 1 };

    /// Returns whether the range has this version.
    ///
    /// ```
    /// use lentil_core::mesh::VersionRange;
    ///
    /// assert!(VersionRange::OWN.contains(2));
    /// assert!(!VersionRange::UNANNOUNCED.contains(2));
    /// ```
    pub fn contains(&self, version: u8) -> bool {
        (self.min..=self.max).contains(&u32::from(version))
    }
}

impl fmt::Display for VersionRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.min, self.max)
    }
}

/// What a process announces about the build that it runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Incarnation of the process.
    pub start: Incarnation,
    /// Package version of the build, if it was announced.
    #[serde(default)]
    pub build: Option<String>,
    /// Versions of the protocol between instances that the build understands.
    pub versions: VersionRange,
}
