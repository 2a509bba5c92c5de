use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// SHA-256 of a caller's bearer key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

/// The error returned when a text is not a valid [`KeyHash`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("key hash is not 64 hexadecimal digits (create one with `lentilctl key`)")]
pub struct KeyError;

impl KeyHash {
    /// Hashes a bearer key.
    ///
    /// ```
    /// use lentil_core::manifest::KeyHash;
    ///
    /// let hash = KeyHash::of("camera-key");
    /// assert_eq!(hash.to_string().parse(), Ok(hash));
    /// ```
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl FromStr for KeyHash {
    type Err = KeyError;
    fn from_str(text: &str) -> Result<Self, KeyError> {
        if text.len() != 64 || !text.is_ascii() {
            return Err(KeyError);
        }
        let mut hash = [0; 32];
        for (i, byte) in hash.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| KeyError)?;
        }
        Ok(Self(hash))
    }
}

impl TryFrom<String> for KeyHash {
    type Error = KeyError;
    fn try_from(text: String) -> Result<Self, KeyError> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> String {
        hash.to_string()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}
