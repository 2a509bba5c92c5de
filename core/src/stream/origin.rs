use {
    crate::{
        clock::Time,
        ids::{Fingerprint, ModelId, SoftwareVersion},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Time for which the origin of a stream is kept; longer than callers try to get one answer.
pub const ORIGIN_RETENTION: Duration = Duration::from_secs(30);
/// Most origins kept; beyond it the one recorded first is dropped.
const MAX_ORIGINS: usize = 16_384;

/// Identifies a stream among all instances: hash of the id of the request that brought its caller
/// the first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(Fingerprint);

impl StreamKey {
    /// Returns the key of the stream that the request with this id began.
    pub fn of(request: &str) -> Self {
        Self(Fingerprint::of(&[request.as_bytes()]))
    }
}

impl std::fmt::Display for StreamKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// What began a stream. What targets with other software write does not continue it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the target that sent its first event.
    pub service: ModelId,
    /// Version of that target's software.
    pub software: SoftwareVersion,
}

/// Origins of recent streams that an instance has begun, or keeps for others.
#[derive(Debug, Clone, Default)]
pub struct StreamOrigins {
    origins: HashMap<StreamKey, (StreamOrigin, Time)>,
    /// Keys in the order in which they were recorded, with the times.
    order: VecDeque<(Time, StreamKey)>,
}

impl StreamOrigins {
    /// Records the origin of a stream that began or continued at `seen`; its first origin stays.
    ///
    /// ```
    /// use lentil_core::{clock::Time, stream::{StreamKey, StreamOrigin, StreamOrigins}};
    ///
    /// let origin = |software: &str| StreamOrigin {
    ///     service: "s".parse().unwrap(),
    ///     software: software.parse().unwrap(),
    /// };
    /// let mut origins = StreamOrigins::default();
    /// let (stream, at) = (StreamKey::of("q1"), Time::from_millis);
    /// origins.record(stream, origin("v1"), at(0), at(0));
    /// origins.record(stream, origin("v2"), at(20_000), at(20_000));
    /// assert_eq!(origins.find(stream, at(45_000)), Some(&origin("v1")));
    /// assert_eq!(origins.find(stream, at(51_000)), None);
    /// ```
    pub fn record(&mut self, stream: StreamKey, origin: StreamOrigin, seen: Time, now: Time) {
        self.remove_expired(now);
        let latest = |(_, at): &mut (StreamOrigin, Time)| *at = (*at).max(seen);
        self.origins.entry(stream).and_modify(latest).or_insert((origin, seen));
        self.order.push_back((seen, stream));
        while self.order.len() > MAX_ORIGINS {
            self.remove_first();
        }
    }

    /// Returns the origin of a stream, if it is known and recent.
    pub fn find(&self, stream: StreamKey, now: Time) -> Option<&StreamOrigin> {
        let (origin, at) = self.origins.get(&stream)?;
        (now - *at < ORIGIN_RETENTION).then_some(origin)
    }

    /// Returns all recent origins, each with the time since its stream began or was last continued.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = (StreamKey, &StreamOrigin, Duration)> {
        let recent = self.origins.iter().filter(move |(_, (_, at))| now - *at < ORIGIN_RETENTION);
        recent.map(move |(stream, (origin, at))| (*stream, origin, now - *at))
    }

    fn remove_expired(&mut self, now: Time) {
        while self.order.front().is_some_and(|(at, _)| now - *at >= ORIGIN_RETENTION) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        let Some((recorded, stream)) = self.order.pop_front() else { return };
        // A stream that continued has a later entry in the order.
        if self.origins.get(&stream).is_some_and(|(_, at)| *at == recorded) {
            self.origins.remove(&stream);
        }
    }
}
