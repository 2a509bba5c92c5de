use {
    super::{NameError, MAX_NAME_BYTES},
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, sync::Arc},
};

/// Version of a target's software. Targets choose the text freely; versions are only compared for
/// equality.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Returns the version as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for SoftwareVersion {
    type Err = NameError;

    /// Accepts any text, also an empty one, of a limited length.
    ///
    /// ```
    /// use lentil_core::ids::SoftwareVersion;
    ///
    /// let version: SoftwareVersion = "v1 (rebuilt)".parse().unwrap();
    /// assert_eq!(version.to_string(), "v1 (rebuilt)");
    /// assert!("x".repeat(1_000).parse::<SoftwareVersion>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, NameError> {
        match text.len() <= MAX_NAME_BYTES {
            true => Ok(Self(text.into())),
            false => Err(NameError::TooLong(text.len())),
        }
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = NameError;
    fn try_from(text: String) -> Result<Self, NameError> {
        text.parse()
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> String {
        version.0.as_ref().to_owned()
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
