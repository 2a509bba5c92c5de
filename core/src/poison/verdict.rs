/// Result of the investigation of a target that lost an answer or fell silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The same process answers.
    Alive,
    /// The process was replaced by another.
    Replaced,
    /// The target refuses connections.
    Refusing,
    /// The target answers no probe.
    Silent,
    /// The same process answers other instances.
    Unreached,
}

/// What is known of the other targets of a service during an investigation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OtherTargets {
    /// At least one has sent something.
    Answer,
    /// None has sent anything, so that the instance itself may be cut off.
    Quiet,
    /// None has sent anything, and no other instance that was asked reaches one either.
    Down,
    /// There are none.
    Absent,
}

impl Verdict {
    /// Returns whether the verdict holds only if this instance reaches the service.
    pub fn needs_others(self) -> bool {
        matches!(self, Self::Refusing | Self::Silent)
    }

    /// Returns whether the requests that ran on the target count as crashing it. Connections of an
    /// instance that is cut off are refused or silent, which says nothing about the requests. Targets
    /// that are silent to all may be cut off from all.
    ///
    /// ```
    /// use lentil_core::poison::{OtherTargets, Verdict};
    ///
    /// assert!(Verdict::Refusing.is_crash(OtherTargets::Answer));
    /// assert!(!Verdict::Refusing.is_crash(OtherTargets::Quiet));
    /// assert!(Verdict::Refusing.is_crash(OtherTargets::Down));
    /// assert!(Verdict::Refusing.is_crash(OtherTargets::Absent));
    /// assert!(!Verdict::Silent.is_crash(OtherTargets::Down));
    /// ```
    pub fn is_crash(self, others: OtherTargets) -> bool {
        match (self, others) {
            (Self::Alive | Self::Unreached, _) => false,
            (Self::Replaced, _) => true,
            (Self::Refusing, others) => others != OtherTargets::Quiet,
            (Self::Silent, others) => others == OtherTargets::Answer,
        }
    }

    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Replaced | Self::Refusing => "crashed",
            Self::Silent => "silent",
            Self::Unreached => "unreached",
        }
    }
}
