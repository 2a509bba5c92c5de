use {
    super::{ErrorKind, Outcome},
    std::{fmt, time::Duration},
    thiserror::Error,
};

/// An error on its way to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct Fault {
    /// Which kind of error it is.
    pub kind: ErrorKind,
    /// One sentence for the caller.
    pub text: String,
    /// What is known of the run.
    pub outcome: Outcome,
    /// When the caller may come back.
    pub retry: Option<Duration>,
}

impl Fault {
    /// An error with the outcome and the delay of the table.
    ///
    /// ```
    /// use lentil_core::error::{ErrorKind, Fault};
    ///
    /// let fault = Fault::new(ErrorKind::UnknownModel, "model \"x\" does not exist");
    /// assert_eq!(fault.to_string(), "unknown-model: model \"x\" does not exist");
    /// ```
    pub fn new(kind: ErrorKind, text: impl Into<String>) -> Self {
        let answer = kind.answer();
        Self { kind, text: text.into(), outcome: answer.outcome, retry: answer.retry }
    }

    /// The same error with a later time to come back, never an earlier one than the table's.
    #[must_use]
    pub fn with_min_retry(mut self, wait: Duration) -> Self {
        self.retry = Some(self.retry.unwrap_or_default().max(wait));
        self
    }

    /// The same error with the time to come back that the load at hand tells, be it shorter or
    /// longer than the table's.
    #[must_use]
    pub fn with_retry(mut self, wait: Duration) -> Self {
        self.retry = Some(wait);
        self
    }

    /// The same error with another outcome.
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
