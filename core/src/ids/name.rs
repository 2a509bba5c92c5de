use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, sync::Arc},
    thiserror::Error,
};

/// Longest name accepted, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Why a text is not a name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NameError {
    /// The text has no characters.
    #[error("name is empty")]
    Empty,
    /// The text has more than [`MAX_NAME_BYTES`] bytes.
    #[error("name has {0} bytes, at most {MAX_NAME_BYTES} are allowed")]
    TooLong(usize),
    /// The text has a character that is not a letter, a digit or one of `-_.:/`.
    #[error("name {text:?} has the character {found:?}")]
    BadChar {
        /// The whole text.
        text: String,
        /// The first refused character.
        found: char,
    },
}

fn checked(text: &str) -> Result<Arc<str>, NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    let refused = |c: &char| !(c.is_alphanumeric() || "-_.:/".contains(*c));
    match text.chars().find(refused) {
        Some(found) => Err(NameError::BadChar { text: text.to_owned(), found }),
        None => Ok(text.into()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;
            fn from_str(text: &str) -> Result<Self, NameError> {
                checked(text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;
            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }
    )*};
}

names! {
    /// Name of an entry instance, unique in the fleet.
    InstanceId;
    /// Name of a model engine.
    EngineId;
    /// Name of a back end of a plain service.
    TargetId;
    /// Name of a plain service.
    ServiceId;
    /// Name of a model.
    ModelId;
    /// Name of an adapter of a model.
    AdapterId;
    /// Version of a model or an adapter.
    VersionId;
    /// Name of a workspace: the customer that a caller's work is accounted to.
    WorkspaceId;
    /// Name of a caller.
    CallerId;
    /// Name of a group of callers that share aliases.
    GroupId;
    /// Name that callers use for a model.
    Alias;
    /// Name of an availability zone.
    Zone;
    /// Name of a region.
    Region;
    /// Name of a cell: the engines that one controller orders.
    CellId;
    /// Identifier of one run of a request on a target.
    RunId;
    /// Token that marks who wrote a store value, unique for each attempt.
    WriterToken;
}
