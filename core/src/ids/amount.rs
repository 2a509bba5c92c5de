use {
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        num::{ParseFloatError, ParseIntError},
        ops::{Add, AddAssign, Sub},
        str::FromStr,
        time::Duration,
    },
    thiserror::Error,
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

/// Rate in requests per second; finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(f64);

/// Why a text or number is no rate of requests.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} is not a number of requests per second")]
pub struct RequestRateError(String);

impl RequestRate {
    /// Creates a rate of `per_second` requests.
    ///
    /// # Errors
    /// [`RequestRateError`] if the number is negative, infinite or not a number.
    pub fn new(per_second: f64) -> Result<Self, RequestRateError> {
        match per_second.is_finite() && per_second >= 0.0 {
            true => Ok(Self(per_second)),
            false => Err(RequestRateError(per_second.to_string())),
        }
    }

    /// Returns the lower of two rates.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = RequestRateError;

    /// Parses a decimal number.
    ///
    /// ```
    /// use lentil_core::ids::RequestRate;
    ///
    /// assert_eq!("9.5".parse::<RequestRate>().unwrap().per_second(), 9.5);
    /// assert!(["", "-1", "nan", "1e999"].iter().all(|t| t.parse::<RequestRate>().is_err()));
    /// ```
    fn from_str(text: &str) -> Result<Self, RequestRateError> {
        let rate = text.trim().parse().ok().and_then(|number| Self::new(number).ok());
        rate.ok_or_else(|| RequestRateError(text.to_owned()))
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
