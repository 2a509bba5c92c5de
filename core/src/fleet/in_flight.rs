use {
    super::QueuedTokens,
    crate::{
        clock::Time,
        ids::{InstanceId, Rank, Tokens},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Age at which what another instance told of its sends no longer counts: it tells several times
/// a second, so that it has stopped or is cut off.
const REPORT_EXPIRY: Duration = Duration::from_secs(2);

/// Work that was sent to an engine and has not ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// Prompt tokens to be prefilled.
    pub tokens: QueuedTokens,
    /// Requests.
    pub runs: u32,
}

/// Work in progress on one engine, by the instance that sent it.
#[derive(Debug, Clone, Default)]
pub struct InFlightByInstance {
    /// Sent by this instance.
    pub own: InFlight,
    others: BTreeMap<InstanceId, (InFlight, Time)>,
}

impl InFlightByInstance {
    /// Notes that a request was sent.
    pub fn started(&mut self, prompt: Tokens, rank: Rank) {
        self.own.tokens.add(rank, prompt);
        self.own.runs += 1;
    }

    /// Notes that a request sent with `prompt` tokens has ended.
    pub fn finished(&mut self, prompt: Tokens, rank: Rank) {
        self.own.tokens.remove(rank, prompt);
        self.own.runs = self.own.runs.saturating_sub(1);
    }

    /// Notes what another instance has told.
    pub fn update(&mut self, from: &InstanceId, held: InFlight, now: Time) {
        if held == InFlight::default() {
            self.others.remove(from);
        } else {
            self.others.insert(from.clone(), (held, now));
        }
    }

    /// Work of all instances as far as it is known.
    ///
    /// ```
    /// # use lentil_core::fleet::{InFlight, InFlightByInstance};
    /// # use lentil_core::{clock::Time, ids::{Rank, Tokens}};
    /// let mut shared = InFlightByInstance::default();
    /// shared.started(Tokens(100), Rank::new(0));
    /// let mut held = InFlight { runs: 2, ..InFlight::default() };
    /// held.tokens.add(Rank::new(1), Tokens(50));
    /// shared.update(&"b".parse().unwrap(), held, Time::ZERO);
    /// let total = shared.total(Time::ZERO);
    /// assert_eq!((total.tokens.total(), total.runs), (Tokens(150), 3));
    /// ```
    pub fn total(&self, now: Time) -> InFlight {
        let fresh = self.others.values().filter(|(_, at)| now - *at < REPORT_EXPIRY);
        fresh.fold(self.own, |sum, (held, _)| InFlight {
            tokens: sum.tokens.plus(&held.tokens),
            runs: sum.runs.saturating_add(held.runs),
        })
    }
}
