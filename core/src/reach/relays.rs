use {
    crate::{
        clock::Time,
        ids::{EngineId, InstanceId},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Time after which an instance that has not said again that it reaches the service is no relay.
const RELAY_VALIDITY: Duration = Duration::from_secs(2);
/// Most relays that are known at the same time.
pub const MAX_RELAYS: usize = 8;

/// Another instance that reaches a service and relays requests for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// Name of the instance.
    pub id: InstanceId,
    /// Address at which it takes relayed requests.
    pub address: SocketAddr,
    /// Whether it is in the availability zone of this instance.
    pub near: bool,
    /// Number of targets that it reaches.
    pub targets: usize,
}

#[derive(Debug, Clone)]
struct KnownRelay {
    relay: Relay,
    confirmed: Time,
    /// Requests of this instance that it has in progress.
    in_flight: u32,
}

/// The instances that relay requests of this one for one service.
#[derive(Debug, Clone, Default)]
pub struct Relays {
    known: Vec<KnownRelay>,
}

impl Relays {
    /// Records that an instance reaches the service.
    pub fn record(&mut self, relay: Relay, now: Time) {
        self.known.retain(|k| k.in_flight > 0 || now - k.confirmed < RELAY_VALIDITY);
        if let Some(known) = self.known.iter_mut().find(|k| k.relay.id == relay.id) {
            known.relay = relay;
            known.confirmed = now;
        } else if self.known.len() < MAX_RELAYS {
            self.known.push(KnownRelay { relay, confirmed: now, in_flight: 0 });
        }
    }

    /// Records that an instance failed a relayed request; it is used again once it confirms that it
    /// reaches the service.
    pub fn record_failure(&mut self, id: &InstanceId) {
        if let Some(known) = self.known.iter_mut().find(|k| k.relay.id == *id) {
            known.confirmed = Time::ZERO;
        }
    }

    /// Counts a request that an instance gets, or with `false` one that has ended there.
    pub fn count(&mut self, id: &InstanceId, begins: bool) {
        if let Some(known) = self.known.iter_mut().find(|k| k.relay.id == *id) {
            known.in_flight = match begins {
                true => known.in_flight + 1,
                false => known.in_flight.saturating_sub(1),
            };
        }
    }

    /// Returns the relay with the fewest requests of this instance, the own availability zone first,
    /// without those in `excluded`. `draw` is a random number that decides between equal ones.
    pub fn choose(&self, excluded: &[EngineId], draw: u64, now: Time) -> Option<&Relay> {
        let usable: Vec<_> = self.valid(now).filter(|k| !is_excluded(&k.relay, excluded)).collect();
        let first = if usable.is_empty() { 0 } else { draw as usize % usable.len() };
        let rotated = usable[first..].iter().chain(&usable[..first]);
        rotated.min_by_key(|k| (k.in_flight, !k.relay.near)).map(|k| &k.relay)
    }

    /// Returns the most targets that any of the relays reaches; zero if there is none.
    pub fn most_targets(&self, now: Time) -> usize {
        self.valid(now).map(|k| k.relay.targets).max().unwrap_or(0)
    }

    /// Returns the number of usable relays.
    pub fn count_valid(&self, now: Time) -> usize {
        self.valid(now).count()
    }

    fn valid(&self, now: Time) -> impl Iterator<Item = &KnownRelay> {
        let valid =
            move |k: &&KnownRelay| k.confirmed > Time::ZERO && now - k.confirmed < RELAY_VALIDITY;
        self.known.iter().filter(valid)
    }
}

fn is_excluded(relay: &Relay, excluded: &[EngineId]) -> bool {
    excluded.iter().any(|id| id.as_str() == relay.id.as_str())
}
