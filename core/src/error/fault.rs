use {
    super::{ErrorKind, Outcome},
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
    thiserror::Error,
};

/// Error to be returned to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub struct Fault {
    /// Kind of the error, which gives the HTTP status and the error code.
    pub kind: ErrorKind,
    /// Message for the caller, in one sentence.
    pub text: String,
    /// Whether a target ran the request.
    pub outcome: Outcome,
    /// Wait after which the caller may retry.
    pub retry: Option<Duration>,
    /// Whether a retry before the end of this wait is certain to fail.
    pub earliest: bool,
}

impl Fault {
    /// Creates an error with the default outcome and retry wait of its kind.
    ///
    /// ```
    /// use lentil_core::error::{ErrorKind, Fault};
    ///
    /// let fault = Fault::new(ErrorKind::UnknownModel, "model \"x\" does not exist");
    /// assert_eq!(fault.to_string(), "unknown-model: model \"x\" does not exist");
    /// ```
    pub fn new(kind: ErrorKind, text: impl Into<String>) -> Self {
        let answer = kind.answer();
        Self {
            kind,
            text: text.into(),
            outcome: answer.outcome,
            retry: answer.retry,
            earliest: false,
        }
    }

    /// Raises the retry wait to at least `wait`; never shortens it.
    #[must_use]
    pub fn with_min_retry(mut self, wait: Duration) -> Self {
        self.retry = Some(self.retry.unwrap_or_default().max(wait));
        self
    }

    /// Sets the retry wait to `wait`, which is derived from the current load and may be shorter or
    /// longer than the default of the kind.
    #[must_use]
    pub fn with_retry(mut self, wait: Duration) -> Self {
        self.retry = Some(wait);
        self
    }

    /// Sets the retry wait to `wait`, before whose end a retry is certain to fail.
    #[must_use]
    pub fn with_earliest_retry(self, wait: Duration) -> Self {
        Self { retry: Some(wait), earliest: true, ..self }
    }

    /// Replaces the outcome.
    #[must_use]
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.text)
    }
}
