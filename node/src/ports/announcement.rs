use {
    super::Target,
    lentil_core::{clock::Time, ids::RequestRate},
    std::time::Duration,
};

/// What a target says of itself in an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Announcement {
    /// Its rate limit, or `None` inside for no limit; `None` if the answer says nothing about it.
    pub limit: Option<Option<RequestRate>>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// How long it wants no requests from this instance.
    pub hold: Option<Duration>,
    /// How long work takes there at this moment, relative to its usual time.
    pub pace: Option<f64>,
}

/// Receives what targets say of themselves in their answers.
pub trait AnswerObserver: Send + Sync {
    /// Returns the time at which a request is sent, to be passed to [`Self::record_answer`].
    fn now(&self) -> Time;

    /// Records what the answer of `target` to a request sent at `sent` announces.
    fn record_answer(&self, target: &Target, announced: &Announcement, sent: Time);
}
