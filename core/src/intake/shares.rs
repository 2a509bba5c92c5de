use {
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseFloatError, str::FromStr},
};

/// Memory in millions of bytes.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Megabytes(pub f64);

impl Megabytes {
    /// Returns the bytes of a share of the memory.
    pub fn share(self, share: f64) -> usize {
        (self.0 * 1e6 * share) as usize
    }
}

impl fmt::Display for Megabytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Megabytes {
    type Err = ParseFloatError;
    fn from_str(text: &str) -> Result<Self, ParseFloatError> {
        text.parse().map(Self)
    }
}

/// Share of the memory for bodies of requests, from their arrival to their answer.
const BODY_SHARE: f64 = 0.22;
/// Part of it that only small bodies may use.
const SMALL_BODY_SHARE: f64 = 0.04;
/// Share for answers that are not streams, which callers read at their own pace.
const ANSWER_SHARE: f64 = 0.06;
/// Share for such answers that other instances relay.
const RELAYED_SHARE: f64 = 0.02;
/// Share for callers' connections and what is kept for each of them.
const CONNECTION_SHARE: f64 = 0.30;
/// Share for the connections of other instances that relay requests.
const RELAY_CONNECTION_SHARE: f64 = 0.06;
/// Descriptors that are kept for files, or one in [`FILE_PART`] if that is less.
const FILE_DESCRIPTORS: u64 = 200;
const FILE_PART: u64 = 8;
/// One in so many sockets is for callers; each of their requests needs another one to a target.
const CALLER_PART: u64 = 2;
/// One in so many sockets is for other instances that relay requests.
const RELAY_PART: u64 = 16;
/// Most connections of probes and of scrapes.
const PROBE_CONNECTIONS: usize = 32;
/// Bytes for their connections.
const PROBE_BYTES: usize = 2 << 20;

/// Parts of a process's memory and descriptors. The rest of the memory, about a third, is for the
/// instance's own tables, targets' connections and allocation overhead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntakeShares {
    /// Bytes for bodies of requests.
    pub bodies: usize,
    /// Bytes of these that only small bodies may use.
    pub small: usize,
    /// Bytes for answers.
    pub answers: usize,
    /// Bytes for answers that other instances relay.
    pub relayed: usize,
    /// Limits on callers' connections.
    pub callers: ConnectionShare,
    /// Limits on connections of other instances that relay requests.
    pub relays: ConnectionShare,
    /// Limits on connections of probes, and as many of scrapes.
    pub probes: ConnectionShare,
}

/// Limits on connections to one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionShare {
    /// Most connections.
    pub count: usize,
    /// Most bytes held for them.
    pub bytes: usize,
}

impl IntakeShares {
    /// Divides the memory and descriptors of a process.
    ///
    /// ```
    /// use lentil_core::intake::{IntakeShares, Megabytes};
    ///
    /// let shares = IntakeShares::new(Megabytes(120.0), 3_075);
    /// assert_eq!(shares.bodies, 26_400_000);
    /// assert_eq!(shares.callers.count, 1_437);
    /// ```
    pub fn new(memory: Megabytes, descriptors: u64) -> Self {
        let sockets = descriptors - FILE_DESCRIPTORS.min(descriptors / FILE_PART);
        let part = |part: u64| (sockets / part).max(1) as usize;
        Self {
            bodies: memory.share(BODY_SHARE),
            small: memory.share(SMALL_BODY_SHARE),
            answers: memory.share(ANSWER_SHARE),
            relayed: memory.share(RELAYED_SHARE),
            callers: ConnectionShare {
                count: part(CALLER_PART),
                bytes: memory.share(CONNECTION_SHARE),
            },
            relays: ConnectionShare {
                count: part(RELAY_PART),
                bytes: memory.share(RELAY_CONNECTION_SHARE),
            },
            probes: ConnectionShare {
                count: PROBE_CONNECTIONS.min(part(RELAY_PART)),
                bytes: PROBE_BYTES,
            },
        }
    }
}
