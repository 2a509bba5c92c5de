use {
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        num::{ParseFloatError, ParseIntError},
        ops::{Add, AddAssign, Sub},
        str::FromStr,
        time::Duration,
    },
};

macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;
            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }

        impl Add for $name {
            type Output = Self;
            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl Sub for $name {
            type Output = Self;
            fn sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl $name {
            /// Returns the value plus one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    )*};
}

counts! {
    /// Number of model tokens, for example of a prompt.
    Tokens;
    /// Size in bytes.
    Bytes;
    /// Revision of a store value; zero means that the key does not exist.
    Revision;
    /// Fencing number of a cell. The cell's ledger assigns increasing numbers to take-overs and
    /// orders, and an engine that checks them refuses a lower number than it has seen.
    Fence;
    /// Sequence number of an order under one fencing number.
    Seq;
    /// Incarnation of a process; a later start has a greater number.
    Incarnation;
    /// Hash of a block of prompt tokens together with every block before it.
    PrefixHash;
    /// Truncated SHA-256 of a list of byte strings, for example to recognise a request that
    /// crashes its targets.
    Fingerprint;
    /// Identifier of a lease in the store.
    LeaseId;
    /// Duration in milliseconds.
    Millis;
}

impl Millis {
    /// Converts to a [`Duration`].
    ///
    /// ```
    /// use {lentil_core::ids::Millis, std::time::Duration};
    ///
    /// assert_eq!(Millis(250).duration(), Duration::from_millis(250));
    /// ```
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

/// Rate in tokens per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TokenRate(pub f64);

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}", self.0)
    }
}

impl FromStr for TokenRate {
    type Err = ParseFloatError;
    fn from_str(text: &str) -> Result<Self, ParseFloatError> {
        text.parse().map(Self)
    }
}
