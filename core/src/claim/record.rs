use {
    crate::{
        ids::{CallerId, Fingerprint, Millis, RunId},
        order::Holder,
    },
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt,
};

/// Largest answer body that is stored with a claim.
pub const MAX_STORED_BODY_BYTES: usize = 4_096;

/// Hash of a caller's idempotency key for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ClaimKey(u128);

impl ClaimKey {
    /// Hashes `key` together with the caller that sent it and the scope in which it is unique.
    ///
    /// ```
    /// use lentil_core::claim::ClaimKey;
    ///
    /// let (a, b) = ("a".parse().unwrap(), "b".parse().unwrap());
    /// assert_ne!(ClaimKey::new(&a, "bookings", "1"), ClaimKey::new(&b, "bookings", "1"));
    /// ```
    pub fn new(caller: &CallerId, scope: &str, key: &str) -> Self {
        let mut hash = Sha256::new();
        for part in [caller.as_str(), scope, key] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.finalize()[..16]);
        Self(u128::from_le_bytes(bytes))
    }

    /// Returns the number of the bucket that holds the claim, out of `buckets`.
    pub fn bucket(self, buckets: u32) -> u32 {
        (self.0 % u128::from(buckets.max(1))) as u32
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl From<ClaimKey> for String {
    fn from(key: ClaimKey) -> String {
        key.to_string()
    }
}

impl TryFrom<String> for ClaimKey {
    type Error = std::num::ParseIntError;
    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}

/// Wall-clock time of the writer, in milliseconds since 1970. Used only to remove old claims, never
/// to decide which run has a claim.
pub type WallTime = Millis;

/// Record of one run-once request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the request's body, to detect a reused key.
    pub body: Fingerprint,
    /// Instance that runs the request.
    pub by: Holder,
    /// Run that has the claim.
    pub run: RunId,
    /// When the claim was last written.
    pub at: WallTime,
    /// Progress of the request.
    pub stage: ClaimStage,
}

/// Progress of a run-once request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimStage {
    /// The request may be running.
    Claimed,
    /// The request was run, with this answer.
    Answered(StoredAnswer),
    /// The request may have been run; its outcome can't be determined.
    Unknown,
}

/// Answer stored for later requests with the same idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, if any.
    pub kind: Option<String>,
    /// Body; `None` if it was larger than [`MAX_STORED_BODY_BYTES`] or not text.
    pub body: Option<String>,
}
