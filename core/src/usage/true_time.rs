use {
    crate::{clock::Time, ids::Millis},
    serde::{Deserialize, Serialize},
    std::{ops::Add, time::Duration},
};

/// Deviation up to which the wall clock is followed; a larger one is a jump of the wall clock.
const MAX_FOLLOWED_MS: i64 = 500;
/// Rate at which the wall clock is followed: 100 millionths, above the drift of a monotonic clock.
const FOLLOW_RATE: f64 = 1e-4;
/// Deviation from which a wall clock counts as wrong.
const WRONG_FROM_MS: u64 = 1_000;

/// Point in true time: milliseconds since the start of 1970.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixTime(pub u64);

impl UnixTime {
    /// Returns the milliseconds from `earlier` until `self`; negative if it is later.
    pub fn millis_since(self, earlier: Self) -> i64 {
        self.0.wrapping_sub(earlier.0) as i64
    }

    /// Returns the time `span` earlier.
    #[must_use]
    pub fn earlier(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span.as_millis() as u64))
    }
}

impl Add<Duration> for UnixTime {
    type Output = Self;
    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_millis() as u64))
    }
}

/// Estimate of true time by the monotonic clock.
///
/// The wall clock is read at the start. Later jumps of it have no effect; only small deviations are
/// followed, slowly. A wall clock that was wrong at the start is corrected by
/// [`correct`](Self::correct).
#[derive(Debug, Clone)]
pub struct TrueTime {
    /// True time minus monotonic time, in microseconds.
    offset: i64,
    followed: Time,
}

impl TrueTime {
    /// Creates the estimate from the wall clock at the start.
    pub fn new(wall: Millis, now: Time) -> Self {
        Self { offset: wall.0 as i64 * 1_000 - now.as_micros() as i64, followed: now }
    }

    /// Returns the estimated true time at `now`.
    ///
    /// ```
    /// use lentil_core::{clock::Time, ids::Millis, usage::{TrueTime, UnixTime}};
    ///
    /// let time = TrueTime::new(Millis(1_000_000), Time::from_millis(50));
    /// assert_eq!(time.at(Time::from_millis(250)), UnixTime(1_000_200));
    /// ```
    pub fn at(&self, now: Time) -> UnixTime {
        UnixTime((now.as_micros() as i64 + self.offset).max(0) as u64 / 1_000)
    }

    /// Adds a correction in milliseconds.
    pub fn correct(&mut self, millis: i64) {
        self.offset += millis * 1_000;
    }

    /// Follows small deviations of the wall clock; returns whether the wall clock is wrong.
    pub fn follow(&mut self, wall: Millis, now: Time) -> bool {
        let deviation = UnixTime(wall.0).millis_since(self.at(now));
        let most = (now - self.followed).as_micros() as f64 * FOLLOW_RATE;
        self.followed = now;
        if deviation.abs() <= MAX_FOLLOWED_MS {
            self.offset += (deviation as f64 * 1e3).clamp(-most, most) as i64;
        }
        deviation.unsigned_abs() >= WRONG_FROM_MS
    }
}
