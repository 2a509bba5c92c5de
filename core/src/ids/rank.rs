use {
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr},
};

/// Number of ranks in a queue.
pub const RANK_COUNT: usize = 10;
/// Number of ranks by which a request is demoted once it can't be answered in time any more. It is
/// then served after all requests that can, provided that routes use ranks 0 to 4.
const LATE_RANK_OFFSET: u8 = 5;

/// Rank of a request among those that wait at an engine; rank 0 is served first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rank(u8);

impl Rank {
    /// Rank that is served first.
    pub const FIRST: Self = Self(0);
    /// Rank that is served last.
    pub const LAST: Self = Self(RANK_COUNT as u8 - 1);

    /// Creates a rank; numbers beyond the last rank give [`Self::LAST`].
    pub fn new(number: u8) -> Self {
        Self(number).min(Self::LAST)
    }

    /// Returns the rank for a request that can't be answered in time any more.
    ///
    /// ```
    /// # use lentil_core::ids::Rank;
    /// assert_eq!(Rank::new(1).demoted(), Rank::new(6));
    /// assert_eq!(Rank::new(7).demoted(), Rank::LAST);
    /// ```
    #[must_use]
    pub fn demoted(self) -> Self {
        Self::new(self.0 + LATE_RANK_OFFSET)
    }

    /// Returns the rank as an index below [`RANK_COUNT`].
    pub fn index(self) -> usize {
        self.min(Self::LAST).0.into()
    }

    /// Returns the rank counted from [`Self::LAST`], for engines that serve greater numbers first.
    pub fn priority(self) -> u8 {
        Self::LAST.0 - self.min(Self::LAST).0
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Rank {
    type Err = ParseIntError;
    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self::new)
    }
}
