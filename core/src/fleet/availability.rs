/// Whether an engine gets new work, or why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It gets new work.
    Open,
    /// It is leaving the fleet.
    Leaving,
    /// It is drained for an order, or carries one out.
    Changing,
    /// Its circuit breaker is open.
    Failing,
    /// It wants no requests for a time.
    Held,
}

impl Availability {
    /// All states, in the order in which the first that applies is reported.
    pub const ALL: [Self; 5] =
        [Self::Leaving, Self::Changing, Self::Failing, Self::Held, Self::Open];

    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Leaving => "leaving",
            Self::Changing => "changing",
            Self::Failing => "failing",
            Self::Held => "held",
        }
    }
}
