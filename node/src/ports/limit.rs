use lentil_core::{
    clock::Time,
    ids::{EngineId, RequestRate},
};

/// Receives the rate limits that targets announce in their answers.
pub trait LimitObserver: Send + Sync {
    /// Returns the time at which a request is sent, to be passed to [`Self::record_answer`].
    fn now(&self) -> Time;

    /// Records the limit, or `None`, that the answer to a request sent at `sent` announces.
    fn record_answer(&self, target: &EngineId, announced: Option<RequestRate>, sent: Time);
}
