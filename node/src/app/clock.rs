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

/// Reads the clocks; the only place that does.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// A clock whose origin is now.
    pub fn start() -> Self {
        Self { origin: boot_time() }
    }

    /// The present time on a clock that never goes back and counts time spent suspended, so that
    /// what expired meanwhile is seen to have expired.
    pub fn now(&self) -> Time {
        Time::from_micros(boot_time().saturating_sub(self.origin).as_micros() as u64)
    }

    /// Milliseconds since 1970.
    pub fn unix_time(&self) -> Millis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Millis(since.as_millis() as u64)
    }

    /// Incarnation of a process that starts now.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.unix_time().0)
    }
}

fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// A name made of a prefix and 96 random bits.
///
/// # Panics
/// Never for prefixes made of letters and dashes.
pub fn random_id<T: FromStr>(prefix: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    let (high, low): (u32, u64) = (rand::thread_rng().gen(), rand::thread_rng().gen());
    format!("{prefix}-{high:08x}{low:016x}").parse().expect("prefix has letters and dashes only")
}
