use {
    crate::{
        clock::Time,
        ids::{InstanceId, Tokens},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Age at which what another instance told of its sends no longer counts: it tells several times
/// a second, so that it has stopped or is cut off.
const STALE: Duration = Duration::from_secs(2);

/// Work that was sent to an engine and has not ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Prompt tokens to be prefilled.
    pub tokens: u32,
    /// Requests.
    pub runs: u32,
}

/// Work in progress on one engine, by the instance that sent it.
#[derive(Debug, Clone, Default)]
pub struct Shared {
    /// Sent by this instance.
    pub own: Held,
    others: BTreeMap<InstanceId, (Held, Time)>,
}

impl Shared {
    /// Notes that a request was sent.
    pub fn began(&mut self, prompt: Tokens) {
        self.own.tokens = self.own.tokens.saturating_add(prompt.0 as u32);
        self.own.runs += 1;
    }

    /// Notes that a request sent with `prompt` tokens has ended.
    pub fn ended(&mut self, prompt: Tokens) {
        self.own.tokens = self.own.tokens.saturating_sub(prompt.0 as u32);
        self.own.runs = self.own.runs.saturating_sub(1);
    }

    /// Notes what another instance has told.
    pub fn heard(&mut self, from: &InstanceId, held: Held, now: Time) {
        if held == Held::default() {
            self.others.remove(from);
        } else {
            self.others.insert(from.clone(), (held, now));
        }
    }

    /// Work of all instances as far as it is known.
    ///
    /// ```
    /// # use lentil_core::{clock::Time, fleet::{Held, Shared}, ids::Tokens};
    /// let mut shared = Shared::default();
    /// shared.began(Tokens(100));
    /// shared.heard(&"b".parse().unwrap(), Held { tokens: 50, runs: 2 }, Time::ZERO);
    /// assert_eq!(shared.total(Time::ZERO), Held { tokens: 150, runs: 3 });
    /// ```
    pub fn total(&self, now: Time) -> Held {
        let fresh = self.others.values().filter(|(_, at)| now - *at < STALE);
        fresh.fold(self.own, |sum, (held, _)| Held {
            tokens: sum.tokens.saturating_add(held.tokens),
            runs: sum.runs.saturating_add(held.runs),
        })
    }
}
