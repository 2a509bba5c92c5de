use {
    crate::{
        ids::{CallerId, Fingerprint, Millis, RunId},
        order::Holder,
    },
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt,
};

/// Largest stored body of an answer, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 4_096;

/// A caller's idempotency key for one service, hashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ClaimKey(u128);

impl ClaimKey {
    /// The claim of `key` as `caller` uses it for what `scope` names.
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

    /// Which of `buckets` store values holds it.
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

/// Wall-clock time of the writer, in milliseconds since 1970; used to drop what is old, never to
/// decide who may run.
pub type WallTime = Millis;

/// Record of one run-once request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the request's body.
    pub body: Fingerprint,
    /// Who runs it.
    pub by: Holder,
    /// The run that has it.
    pub run: RunId,
    /// When it was last written.
    pub at: WallTime,
    /// How far it has come.
    pub stage: ClaimStage,
}

/// How far a run-once request has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimStage {
    /// It may be running.
    Claimed,
    /// It ran, with this answer.
    Answered(StoredAnswer),
    /// It may have run; nobody knows.
    Unknown,
}

/// An answer kept for a resend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`, if any.
    pub kind: Option<String>,
    /// The body; `None` if it was larger than [`MAX_STORED_BODY_BYTES`] or not text.
    pub body: Option<String>,
}
