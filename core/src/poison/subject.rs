use {
    crate::ids::{Fingerprint, PrefixHash},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// What a crash of a target is attributed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// A whole request, the same each time that it is sent.
    Request(Fingerprint),
    /// A part of prompts that several requests share.
    Part(PrefixHash),
}

impl Subject {
    /// Number of crashes that quarantine it.
    ///
    /// A request is sent alone to a target after its first crash, so a second one says much. Parts run
    /// beside each other at every crash.
    pub(super) fn crash_limit(self) -> usize {
        match self {
            Self::Request(_) => 2,
            Self::Part(_) => 3,
        }
    }

    /// Returns the number that identifies it among those of its kind.
    pub fn number(self) -> u64 {
        match self {
            Self::Request(Fingerprint(number)) | Self::Part(PrefixHash(number)) => number,
        }
    }
}

impl From<Fingerprint> for Subject {
    fn from(request: Fingerprint) -> Self {
        Self::Request(request)
    }
}

impl From<PrefixHash> for Subject {
    fn from(part: PrefixHash) -> Self {
        Self::Part(part)
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => write!(f, "request={request}"),
            Self::Part(PrefixHash(part)) => write!(f, "part={part:x}"),
        }
    }
}
