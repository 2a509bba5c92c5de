use {
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        ops::{Add, Sub},
        time::Duration,
    },
};

/// Point in time on a process's monotonic clock, in microseconds since the clock's origin.
///
/// Times of different processes can't be compared.
///
/// ```
/// use {lentil_core::clock::Time, std::time::Duration};
///
/// let start = Time::from_millis(1_000);
/// let later = start + Duration::from_millis(250);
/// assert_eq!(later - start, Duration::from_millis(250));
/// assert_eq!(start - later, Duration::ZERO);
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// Origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates the time at `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates the time at `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Creates the time at `secs` seconds after the origin.
    pub fn from_secs_f64(secs: f64) -> Self {
        Self((secs * 1e6) as u64)
    }

    /// Returns the time `span` earlier, or the origin if that lies after it.
    #[must_use]
    pub fn earlier(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_micros() as u64))
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the seconds since the origin.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add<Duration> for Time {
    type Output = Self;
    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }
}

impl Sub for Time {
    type Output = Duration;
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    fn sub(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.6}s", self.as_secs_f64())
    }
}
