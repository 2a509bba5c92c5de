use {
    crate::{clock::Time, ids::Revision},
    std::{fmt, time::Duration},
};

/// What becomes of a pending watch for changes of the routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchVerdict {
    /// It may go on until this time, unless something is learned before.
    KeepUntil(Time),
    /// It is given up, and the routes are read anew.
    Abandon(AbandonReason),
}

/// Why a watch is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbandonReason {
    /// The watch is not known to work, and for this long nothing else has shown that the routes are
    /// the current ones.
    Unconfirmed(Duration),
    /// Another instance has this newer version.
    Outdated(Revision),
    /// The instance has become one of those that watch closely.
    Duty,
}

impl AbandonReason {
    /// Returns the label under which the metrics count the reason.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unconfirmed(_) => "unconfirmed",
            Self::Outdated(_) => "outdated",
            Self::Duty => "duty",
        }
    }
}

impl fmt::Display for AbandonReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unconfirmed(age) => write!(f, "unconfirmed age={} ms", age.as_millis()),
            Self::Outdated(version) => write!(f, "outdated newer={version}"),
            Self::Duty => f.write_str("duty"),
        }
    }
}
