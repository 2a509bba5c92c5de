use {
    super::ErrorKind,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Whether a request that is answered with an error was run on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A target ran the request.
    Ran,
    /// No target ran the request or will run it.
    NotRun,
    /// A target may have run the request.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

/// HTTP answer for an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Error code in the answer's body.
    pub code: &'static str,
    /// Value of the `lentil-outcome` header.
    pub outcome: Outcome,
    /// Default wait in the `Retry-After` header, if the answer has one.
    pub retry: Option<Duration>,
}

const SHORT_RETRY: Option<Duration> = Some(Duration::from_secs(1));
const LONG_RETRY: Option<Duration> = Some(Duration::from_secs(5));

impl ErrorKind {
    /// Returns the answer for this kind.
    ///
    /// ```
    /// use lentil_core::error::{ErrorKind, Outcome};
    ///
    /// let answer = ErrorKind::NoCapacity.answer();
    /// assert_eq!((answer.status, answer.outcome), (503, Outcome::NotRun));
    /// assert!(answer.retry.is_some());
    /// ```
    pub fn answer(self) -> Answer {
        use Outcome::{NotRun, Unknown};
        let (status, code, outcome, retry) = match self {
            Self::BadRequest => (400, "bad-request", NotRun, None),
            Self::NoCaller => (401, "no-caller", NotRun, None),
            Self::Forbidden => (403, "forbidden", NotRun, None),
            Self::UnknownModel => (404, "unknown-model", NotRun, None),
            Self::UnknownService => (404, "unknown-service", NotRun, None),
            Self::NoRoute => (404, "no-route", NotRun, None),
            Self::TooLarge => (413, "too-large", NotRun, None),
            Self::BodyTimeout => (408, "body-timeout", NotRun, None),
            Self::KeyReused => (422, "key-reused", NotRun, None),
            // The first request with the key is running or was run; only this repeat was not.
            Self::StillRunning => (409, "still-running", Unknown, SHORT_RETRY),
            Self::OverShare => (429, "over-share", NotRun, SHORT_RETRY),
            Self::NoCapacity => (503, "no-capacity", NotRun, SHORT_RETRY),
            Self::Stopping => (503, "stopping", NotRun, SHORT_RETRY),
            Self::NotReady => (503, "not-ready", NotRun, SHORT_RETRY),
            Self::NoTarget => (503, "no-target", NotRun, SHORT_RETRY),
            Self::NoClaims => (503, "no-claims", NotRun, LONG_RETRY),
            Self::Quarantined => (422, "quarantined", NotRun, None),
            Self::StreamGone => (410, "stream-gone", Unknown, None),
            Self::TargetLost => (502, "target-lost", Unknown, None),
            Self::TargetTimeout => (504, "target-timeout", Unknown, None),
            Self::BadAnswer => (502, "bad-answer", Unknown, None),
        };
        Answer { status, code, outcome, retry }
    }
}
