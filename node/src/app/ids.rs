use {
    lentil_core::{
        clock::Time,
        ids::{Incarnation, Millis},
    },
    rand::Rng,
    std::{
        str::FromStr,
        time::{Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Reads the clocks; the only place that does.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock whose origin is now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The present time on the monotonic clock.
    pub fn now(&self) -> Time {
        Time::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// Milliseconds since 1970.
    pub fn wall(&self) -> Millis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Millis(since.as_millis() as u64)
    }

    /// Incarnation of a process that starts now.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.wall().0)
    }
}

/// A name made of a prefix and 96 random bits.
///
/// # Panics
/// Never for prefixes made of letters and dashes.
pub fn fresh<T: FromStr>(prefix: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    let (high, low): (u32, u64) = (rand::thread_rng().gen(), rand::thread_rng().gen());
    format!("{prefix}-{high:08x}{low:016x}").parse().expect("prefix has letters and dashes only")
}
