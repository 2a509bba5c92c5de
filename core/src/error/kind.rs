use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Every reason for which a request is not answered as asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The body, a header or a query is malformed.
    BadRequest,
    /// The bearer key is missing or unknown.
    NoCaller,
    /// The caller may not reach the model or service.
    Forbidden,
    /// No model has this name for this caller.
    UnknownModel,
    /// No service has this name.
    UnknownService,
    /// No such path.
    NoRoute,
    /// The body is larger than allowed.
    TooLarge,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// A run with this idempotency key has not ended yet.
    StillRunning,
    /// The workspace is over its fair share.
    OverShare,
    /// The request could not be answered by its deadline.
    NoCapacity,
    /// The instance is stopping.
    Stopping,
    /// The instance has no manifest yet.
    NotReady,
    /// No target in service can run the request.
    NoTarget,
    /// Claims can't be recorded, so that a single run can't be assured.
    NoClaims,
    /// The request has crashed targets and is quarantined.
    Quarantined,
    /// The stream can't be resumed by this caller, or not any more.
    StreamGone,
    /// The target failed after the request was sent: it may have run.
    TargetLost,
    /// The target did not answer in time: it may have run.
    TargetTimeout,
    /// An answer broke the protocol: it may have run.
    BadAnswer,
}

impl ErrorKind {
    /// All kinds, in the order of the table in docs/INTERFACES.md.
    pub const ALL: [Self; 20] = [
        Self::BadRequest,
        Self::NoCaller,
        Self::Forbidden,
        Self::UnknownModel,
        Self::UnknownService,
        Self::NoRoute,
        Self::TooLarge,
        Self::KeyReused,
        Self::StillRunning,
        Self::OverShare,
        Self::NoCapacity,
        Self::Stopping,
        Self::NotReady,
        Self::NoTarget,
        Self::NoClaims,
        Self::Quarantined,
        Self::StreamGone,
        Self::TargetLost,
        Self::TargetTimeout,
        Self::BadAnswer,
    ];
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().code)
    }
}
