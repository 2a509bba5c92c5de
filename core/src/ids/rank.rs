use {
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr},
};

/// Number of ranks.
pub const RANK_COUNT: usize = 10;
/// Ranks by which a request steps back that can't be answered in time any more: behind all that
/// can, where routes use the upper half.
const LATE_RANK_OFFSET: u8 = 5;

/// Place of a request among those that wait at an engine; rank 0 goes first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rank(u8);

impl Rank {
    /// The first rank.
    pub const FIRST: Self = Self(0);
    /// The last rank.
    pub const LAST: Self = Self(RANK_COUNT as u8 - 1);

    /// A rank; numbers beyond the last one mean the last one.
    pub fn new(number: u8) -> Self {
        Self(number).min(Self::LAST)
    }

    /// The rank behind the requests that can still be answered in time.
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

    /// The rank as an index below [`RANK_COUNT`].
    pub fn index(self) -> usize {
        self.min(Self::LAST).0.into()
    }

    /// The rank counted from the last one, for those that serve higher numbers first.
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
