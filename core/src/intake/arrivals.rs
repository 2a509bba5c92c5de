use {
    crate::clock::Time,
    std::{collections::HashMap, fmt, time::Duration},
};

/// Bytes that have to arrive for a body to count as progressing: single bytes don't keep it alive.
const STEP_BYTES: usize = 16 << 10;
/// Stall after which a body yields to another one that needs its memory.
const YIELDING_STALL: Duration = Duration::from_millis(500);
/// Longest stall of a body: a rate of 1.6 KB/s.
const MAX_STALL: Duration = Duration::from_secs(10);
/// Longest stall while the instance stops.
const MAX_STOPPING_STALL: Duration = Duration::from_secs(1);

/// Number of a body that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ArrivalId(pub u64);

impl fmt::Display for ArrivalId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

#[derive(Debug, Clone, Copy)]
struct Arrival {
    /// Bytes of memory that it holds.
    held: usize,
    /// Bytes that have arrived since the last step.
    pending: usize,
    /// When it last progressed by [`STEP_BYTES`].
    stepped: Time,
}

/// Bodies that are arriving, and how long each has stalled.
#[derive(Debug, Default)]
pub struct Arrivals {
    last: u64,
    bodies: HashMap<ArrivalId, Arrival>,
}

impl Arrivals {
    /// Adds a body whose first byte is awaited from `now` on.
    pub fn begin(&mut self, now: Time) -> ArrivalId {
        self.last += 1;
        let id = ArrivalId(self.last);
        self.bodies.insert(id, Arrival { held: 0, pending: 0, stepped: now });
        id
    }

    /// Records that `bytes` of a body have arrived, and that it now holds `held` bytes of memory.
    pub fn record(&mut self, id: ArrivalId, bytes: usize, held: usize, now: Time) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        body.held = held;
        body.pending += bytes;
        if body.pending >= STEP_BYTES {
            body.pending = 0;
            body.stepped = now;
        }
    }

    /// Removes a body that has arrived or was given up.
    pub fn end(&mut self, id: ArrivalId) {
        self.bodies.remove(&id);
    }

    /// Returns the number of bodies and the bytes that they hold.
    pub fn usage(&self) -> (usize, usize) {
        (self.bodies.len(), self.bodies.values().map(|b| b.held).sum())
    }

    /// Returns the body that has to yield its memory to body `id`: the one that has stalled longest,
    /// if it has stalled for some time and longer than `id` itself.
    ///
    /// ```
    /// use lentil_core::{clock::Time, intake::Arrivals};
    ///
    /// let mut arrivals = Arrivals::default();
    /// let stalled = arrivals.begin(Time::ZERO);
    /// arrivals.record(stalled, 100_000, 100_000, Time::ZERO);
    /// let other = arrivals.begin(Time::from_millis(900));
    /// assert_eq!(arrivals.yielding(other, Time::from_millis(400)), None);
    /// assert_eq!(arrivals.yielding(other, Time::from_millis(900)), Some(stalled));
    /// ```
    pub fn yielding(&self, id: ArrivalId, now: Time) -> Option<ArrivalId> {
        let own = self.bodies.get(&id).map_or(now, |b| b.stepped);
        let others = self.bodies.iter().filter(|(other, b)| {
            **other != id && b.held > 0 && b.stepped < own && now - b.stepped >= YIELDING_STALL
        });
        others.min_by_key(|(other, b)| (b.stepped, **other)).map(|(other, _)| *other)
    }

    /// Returns the bytes held by all bodies that would yield to a new one.
    pub fn yieldable(&self, now: Time) -> usize {
        let stalled = self.bodies.values().filter(|b| now - b.stepped >= YIELDING_STALL);
        stalled.map(|b| b.held).sum()
    }

    /// Returns the bodies that have stalled for too long.
    pub fn stalled(&self, stopping: bool, now: Time) -> Vec<ArrivalId> {
        let max = if stopping { MAX_STOPPING_STALL } else { MAX_STALL };
        let stalled = self.bodies.iter().filter(|(_, b)| now - b.stepped >= max);
        stalled.map(|(id, _)| *id).collect()
    }
}
