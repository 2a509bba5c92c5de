/// Result of the investigation of a target that lost an answer or fell silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The same process answers.
    Alive,
    /// The process is gone or was replaced by another.
    Crashed,
    /// The target answers no probe.
    Silent,
}

impl Verdict {
    /// Returns whether the requests that ran on the target count as crashing it. `others_answer`
    /// states whether other targets have answered since: if none has, the instance itself may be
    /// cut off, and a silent target says nothing about the request.
    ///
    /// ```
    /// use lentil_core::poison::Verdict;
    ///
    /// assert!(Verdict::Silent.is_crash(true));
    /// assert!(!Verdict::Silent.is_crash(false));
    /// ```
    pub fn is_crash(self, others_answer: bool) -> bool {
        match self {
            Self::Alive => false,
            Self::Crashed => true,
            Self::Silent => others_answer,
        }
    }

    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Crashed => "crashed",
            Self::Silent => "silent",
        }
    }
}
