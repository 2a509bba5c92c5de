use {
    super::QueuedTokens,
    crate::{
        clock::Time,
        ids::{InstanceId, Rank, Tokens},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Age after which another instance's note of its work in flight is ignored. Notes arrive several
/// times a second, so an instance that sends no newer one has stopped or is partitioned.
const NOTE_EXPIRY: Duration = Duration::from_secs(2);

/// Work that was sent to an engine and has not finished.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// Prompt tokens to prefill, by rank.
    pub tokens: QueuedTokens,
    /// Number of requests.
    pub runs: u32,
}

/// Work in flight on one engine, by the instance that sent it.
#[derive(Debug, Clone, Default)]
pub struct InFlightByInstance {
    /// Work sent by this instance.
    pub own: InFlight,
    others: BTreeMap<InstanceId, (InFlight, Time)>,
}

impl InFlightByInstance {
    /// Adds a request that this instance sent.
    pub fn record_start(&mut self, prompt: Tokens, rank: Rank) {
        self.own.tokens.add(rank, prompt);
        self.own.runs += 1;
    }

    /// Removes a finished request; `prompt` and `rank` are those passed to [`Self::record_start`].
    pub fn record_finish(&mut self, prompt: Tokens, rank: Rank) {
        self.own.tokens.remove(rank, prompt);
        self.own.runs = self.own.runs.saturating_sub(1);
    }

    /// Replaces the work of instance `from` with what its latest note says.
    pub fn update(&mut self, from: &InstanceId, work: InFlight, now: Time) {
        if work == InFlight::default() {
            self.others.remove(from);
        } else {
            self.others.insert(from.clone(), (work, now));
        }
    }

    /// Returns the work of all instances, without notes that have expired.
    ///
    /// ```
    /// # use lentil_core::fleet::{InFlight, InFlightByInstance};
    /// # use lentil_core::{clock::Time, ids::{Rank, Tokens}};
    /// let mut in_flight = InFlightByInstance::default();
    /// in_flight.record_start(Tokens(100), Rank::new(0));
    /// let mut other = InFlight { runs: 2, ..InFlight::default() };
    /// other.tokens.add(Rank::new(1), Tokens(50));
    /// in_flight.update(&"b".parse().unwrap(), other, Time::ZERO);
    /// let total = in_flight.total(Time::ZERO);
    /// assert_eq!((total.tokens.total(), total.runs), (Tokens(150), 3));
    /// ```
    pub fn total(&self, now: Time) -> InFlight {
        let fresh = self.others.values().filter(|(_, at)| now - *at < NOTE_EXPIRY);
        fresh.fold(self.own, |sum, (work, _)| InFlight {
            tokens: sum.tokens.plus(&work.tokens),
            runs: sum.runs.saturating_add(work.runs),
        })
    }
}
