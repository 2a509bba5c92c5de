use {
    super::UnixTime,
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr, time::Duration},
};

/// Number of a usage window: window `k` begins `k` window lengths after the start of 1970.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WindowId(pub u64);

impl WindowId {
    /// Returns the following window.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for WindowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for WindowId {
    type Err = ParseIntError;
    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// Length of the usage windows; at least a millisecond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowLength(u64);

impl WindowLength {
    /// Creates the length from seconds.
    pub fn from_secs_f64(seconds: f64) -> Self {
        Self(((seconds * 1e3).round() as u64).max(1))
    }

    /// Returns the window that contains a point in time.
    ///
    /// ```
    /// use lentil_core::usage::{UnixTime, WindowId, WindowLength};
    ///
    /// let length = WindowLength::from_secs_f64(5.0);
    /// assert_eq!(length.window_at(UnixTime(1_767_225_604_999)), WindowId(353_445_120));
    /// assert_eq!(length.end(WindowId(353_445_120)), UnixTime(1_767_225_605_000));
    /// ```
    pub fn window_at(self, time: UnixTime) -> WindowId {
        WindowId(time.0 / self.0)
    }

    /// Returns the end of a window.
    pub fn end(self, window: WindowId) -> UnixTime {
        UnixTime(window.0.saturating_add(1).saturating_mul(self.0))
    }

    /// Returns the duration of a window.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}
