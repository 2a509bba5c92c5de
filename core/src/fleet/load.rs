use {
    super::InFlightByInstance,
    crate::{
        clock::Time,
        ids::{Rank, Tokens},
    },
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
};

/// Time after which a send is no longer counted, even if no later report covers it. Also bounds the
/// time since a report for which prefill progress is assumed.
const SEND_EXPIRY: Duration = Duration::from_secs(10);

/// Load of an engine at one point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Prompt tokens waiting for prefill.
    pub queued: Tokens,
    /// Requests being decoded.
    pub running: u32,
    /// Requests waiting for a decode slot.
    pub waiting: u32,
}

impl Load {
    /// Returns true if the engine has no work.
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

/// Estimate of an engine's load: its latest report plus the work sent since, or the work in flight
/// for an engine without load reports.
#[derive(Debug, Clone, Default)]
pub struct LoadView {
    /// Work in flight; set only for an engine whose load is tracked by what is sent to it.
    pub in_flight: Option<InFlightByInstance>,
    report: Load,
    reported_at: Time,
    sends: VecDeque<Send>,
}

impl LoadView {
    /// Creates a view of an engine without load reports: its load is the work in flight that this
    /// instance and the others sent to it.
    pub fn from_in_flight() -> Self {
        Self { in_flight: Some(InFlightByInstance::default()), ..Self::default() }
    }

    /// Records a load report taken at `taken`; reports older than the latest are ignored.
    pub fn record_report(&mut self, report: Load, taken: Time) {
        if taken < self.reported_at {
            return;
        }
        self.report = report;
        self.reported_at = taken;
        self.sends.retain(|s| s.at > taken);
    }

    /// Records work sent at `now`: `prompt` tokens to prefill and, if `decode` is set, a request to
    /// decode.
    pub fn record_send(&mut self, prompt: Tokens, decode: bool, now: Time) {
        self.sends.push_back(Send { at: now, prompt, decode });
        while self.sends.front().is_some_and(|s| now - s.at > SEND_EXPIRY) {
            self.sends.pop_front();
        }
    }

    /// Returns the load expected at `now`, assuming that the engine prefills `rate` tokens per
    /// second and that each of `instances`, this one included, has sent it the same amount of work
    /// since the report.
    pub fn expected(&self, rate: f64, instances: u32, now: Time) -> Load {
        self.expected_ahead_of(Rank::LAST, rate, instances, now)
    }

    /// Like [`Self::expected`], but counts only the prompts that are prefilled before a new request
    /// of `rank`.
    ///
    /// Load reports don't contain ranks, so for an engine with reports all prompts count.
    pub fn expected_ahead_of(&self, rank: Rank, rate: f64, instances: u32, now: Time) -> Load {
        if let Some(in_flight) = &self.in_flight {
            let work = in_flight.total(now);
            return Load { queued: work.tokens.ahead_of(rank), running: work.runs, waiting: 0 };
        }
        let mut load = self.report;
        for send in &self.sends {
            load.queued += Tokens(send.prompt.0 * u64::from(instances));
            load.running += u32::from(send.decode) * instances;
        }
        let elapsed = (now - self.reported_at).min(SEND_EXPIRY).as_secs_f64();
        let done = Tokens((rate * elapsed) as u64);
        load.queued = load.queued - done;
        load
    }

    /// Returns true if a report taken at `since` or later shows no work and nothing was sent after
    /// that report.
    pub fn idle_since(&self, since: Time) -> bool {
        self.reported_at >= since && self.report.idle() && self.sends.is_empty()
    }

    /// Returns true if no work is known at `now`.
    pub fn idle(&self, now: Time) -> bool {
        self.expected(0.0, 1, now).idle()
    }

    /// Returns the time at which the latest report was taken.
    pub fn reported_at(&self) -> Time {
        self.reported_at
    }
}
