use {
    super::InFlightByInstance,
    crate::{
        clock::Time,
        ids::{Rank, Tokens},
    },
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
};

/// Time after which a send without a report that covers it is forgotten.
const SEND_EXPIRY: Duration = Duration::from_secs(10);

/// Load of an engine at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Prompt tokens that wait for prefill.
    pub queued: Tokens,
    /// Requests that decode.
    pub running: u32,
    /// Requests that wait for a decode slot.
    pub waiting: u32,
}

impl Load {
    /// Whether the engine has nothing to do.
    pub fn idle(&self) -> bool {
        *self == Self::default()
    }
}

#[derive(Debug, Clone, Copy)]
struct Send {
    at: Time,
    prompt: Tokens,
    decode: bool,
}

/// The latest report of an engine's load, corrected by what was sent since.
#[derive(Debug, Clone, Default)]
pub struct LoadView {
    /// Work in progress on an engine that is followed by what is sent to it, not by reports.
    pub in_flight: Option<InFlightByInstance>,
    report: Load,
    reported_at: Time,
    sends: VecDeque<Send>,
}

impl LoadView {
    /// A view that follows what is sent and told of sends, not reports.
    pub fn from_in_flight() -> Self {
        Self { in_flight: Some(InFlightByInstance::default()), ..Self::default() }
    }

    /// Takes in a report of the load at `taken`; older ones than the latest are ignored.
    pub fn reported(&mut self, report: Load, taken: Time) {
        if taken < self.reported_at {
            return;
        }
        self.report = report;
        self.reported_at = taken;
        self.sends.retain(|s| s.at > taken);
    }

    /// Notes work sent at `now`: a prompt to prefill and perhaps a request to decode.
    pub fn sent(&mut self, prompt: Tokens, decode: bool, now: Time) {
        self.sends.push_back(Send { at: now, prompt, decode });
        while self.sends.front().is_some_and(|s| now - s.at > SEND_EXPIRY) {
            self.sends.pop_front();
        }
    }

    /// The load expected now, if the engine prefills `rate` tokens per second and each of
    /// `instances` has sent it as much as this one since the report.
    pub fn expected(&self, rate: f64, instances: u32, now: Time) -> Load {
        self.expected_ahead_of(Rank::LAST, rate, instances, now)
    }

    /// The same, of prompts only those that are read before a new request of `rank`.
    ///
    /// Engines that are followed by reports don't tell ranks: all prompts count there.
    pub fn expected_ahead_of(&self, rank: Rank, rate: f64, instances: u32, now: Time) -> Load {
        if let Some(shared) = &self.in_flight {
            let held = shared.total(now);
            return Load { queued: held.tokens.ahead_of(rank), running: held.runs, waiting: 0 };
        }
        let mut load = self.report;
        for send in &self.sends {
            load.queued += Tokens(send.prompt.0 * u64::from(instances));
            load.running += u32::from(send.decode) * instances;
        }
        let since = (now - self.reported_at).min(SEND_EXPIRY).as_secs_f64();
        let done = Tokens((rate * since) as u64);
        load.queued = load.queued - done;
        load
    }

    /// Whether a report taken at `since` or later shows no work, and nothing was sent after it.
    pub fn idle_since(&self, since: Time) -> bool {
        self.reported_at >= since && self.report.idle() && self.sends.is_empty()
    }

    /// Whether nothing is known to be in work at `now`.
    pub fn idle(&self, now: Time) -> bool {
        let load = self.expected(0.0, 1, now);
        load.idle()
    }

    /// When the latest report was taken.
    pub fn reported_at(&self) -> Time {
        self.reported_at
    }
}
