use {
    lentil_core::{
        clock::Time,
        ids::{Incarnation, Millis},
    },
    nix::time::{clock_gettime, ClockId},
    rand::Rng,
    std::{
        str::FromStr,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Reads the system clocks; all other code gets the time from here.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> Self {
        Self { origin: boot_time() }
    }

    /// Returns the time of a monotonic clock that also counts time spent suspended, so that a
    /// lease or timeout that ends during a suspension has expired afterwards.
    pub fn now(&self) -> Time {
        Time::from_micros(boot_time().saturating_sub(self.origin).as_micros() as u64)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub fn unix_time(&self) -> Millis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Millis(since.as_millis() as u64)
    }

    /// Returns the incarnation number of a process that starts now, read from the wall clock.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.unix_time().0)
    }
}

fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Generates an id from a prefix and 96 random bits.
///
/// # Panics
/// If the prefix has characters other than letters and dashes.
pub fn random_id<T: FromStr>(prefix: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    let (high, low): (u32, u64) = (rand::thread_rng().gen(), rand::thread_rng().gen());
    format!("{prefix}-{high:08x}{low:016x}").parse().expect("prefix has letters and dashes only")
}
