use {
    crate::{
        clock::Time,
        error::{ErrorKind, Fault},
    },
    std::{fmt, time::Duration},
};

/// Why a target is not sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DenialReason {
    /// The request has crashed targets.
    Quarantined,
    /// The target is not registered any more.
    Gone,
    /// Another process runs under the target's name.
    Restarted,
    /// The target is leaving.
    Leaving,
    /// The stream began at another software version.
    Software,
    /// The engine that holds a part of the prompt is leaving, gone, or wants no requests.
    Source,
    /// The target said that it wants no requests for a time.
    HeldBack,
    /// The target's rate limit allows no request now.
    RateLimit,
}

impl DenialReason {
    /// All reasons.
    pub const ALL: [Self; 8] = [
        Self::Quarantined,
        Self::Gone,
        Self::Restarted,
        Self::Leaving,
        Self::Software,
        Self::Source,
        Self::HeldBack,
        Self::RateLimit,
    ];

    /// Returns the name of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Quarantined => "quarantined",
            Self::Gone => "gone",
            Self::Restarted => "restarted",
            Self::Leaving => "leaving",
            Self::Software => "software",
            Self::Source => "source",
            Self::HeldBack => "held-back",
            Self::RateLimit => "rate-limit",
        }
    }
}

impl fmt::Display for DenialReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// What becomes of a request that its target is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// No target may run it.
    Refuse(DenialReason),
    /// Another target, or another copy of its prompt, has to be chosen.
    ChooseAnother(DenialReason),
    /// The target gets no request before this time.
    NotBefore(Time, DenialReason),
}

impl Denial {
    /// Returns why the request was not sent.
    pub fn reason(self) -> DenialReason {
        match self {
            Self::Refuse(reason) | Self::ChooseAnother(reason) | Self::NotBefore(_, reason) => {
                reason
            }
        }
    }

    /// Returns the time until the target may get requests again; zero if that is not known.
    ///
    /// ```
    /// use {lentil_core::{clock::Time, gate::{Denial, DenialReason}}, std::time::Duration};
    ///
    /// let denial = Denial::NotBefore(Time::from_millis(250), DenialReason::HeldBack);
    /// assert_eq!(denial.wait(Time::from_millis(200)), Duration::from_millis(50));
    /// ```
    pub fn wait(self, now: Time) -> Duration {
        match self {
            Self::NotBefore(until, _) => until - now,
            Self::Refuse(_) | Self::ChooseAnother(_) => Duration::ZERO,
        }
    }

    /// Returns the fault for a request that is refused because of this.
    pub fn into_fault(self, now: Time) -> Fault {
        match self {
            Self::Refuse(_) => {
                Fault::new(ErrorKind::Quarantined, "the request has crashed two targets")
            }
            Self::ChooseAnother(reason) => {
                Fault::new(ErrorKind::NoTarget, format!("no target was left: {reason}"))
            }
            Self::NotBefore(_, reason) => {
                let text = match reason {
                    DenialReason::RateLimit => "the targets' rate limits are used up",
                    _ => "the targets want no requests for a time",
                };
                Fault::new(ErrorKind::NoCapacity, text).with_earliest_retry(self.wait(now))
            }
        }
    }
}

impl fmt::Display for Denial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.reason().fmt(f)
    }
}
