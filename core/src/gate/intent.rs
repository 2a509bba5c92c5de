use {
    super::{Denial, DenialReason},
    crate::{
        clock::Time,
        fleet::EngineView,
        ids::{Incarnation, SoftwareVersion},
        poison::RunPermission,
    },
};

/// What is sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SendKind {
    /// A whole request, also one that is sent again or that resumes a stream.
    Run,
    /// A prompt to prefill.
    Prefill,
    /// The rest of a request whose prompt another engine has prefilled.
    Decode,
    /// A report, an order, or the release of a prompt; no request of a caller.
    Control,
}

impl SendKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Run, Self::Prefill, Self::Decode, Self::Control];

    /// Returns the name of the kind in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Control => "control",
        }
    }
}

/// A request that is about to be sent to a target.
#[derive(Debug, Clone, Copy)]
pub struct SendIntent<'a> {
    /// What is sent.
    pub kind: SendKind,
    /// Incarnation of the target when it was chosen; zero if it was not known.
    pub boot: Incarnation,
    /// Software version that began the stream.
    pub software: Option<&'a SoftwareVersion>,
    /// Whether a permit for the send was acquired.
    pub permit: bool,
    /// What the quarantine says of the request.
    pub permission: RunPermission,
}

impl SendIntent<'_> {
    /// Creates the intent to send a call that no caller has requested.
    pub const CONTROL: SendIntent<'static> = SendIntent {
        kind: SendKind::Control,
        boot: Incarnation(0),
        software: None,
        permit: true,
        permission: RunPermission::Clear,
    };

    /// Decides whether the target may be sent this now. `target` is what is known of it, and
    /// `source` is the engine from which it would fetch a part of the prompt; the inner `None`
    /// stands for one that is gone.
    ///
    /// Control calls pass unless the target wants nothing at all: a target that is leaving still
    /// finishes its work and reports on it.
    ///
    /// # Errors
    /// What has to become of the request instead.
    pub fn check(
        &self,
        target: Option<&EngineView>,
        source: Option<Option<&EngineView>>,
        now: Time,
    ) -> Result<(), Denial> {
        if self.kind == SendKind::Control {
            return target.map_or(Ok(()), |t| check_hold(t, now));
        }
        if self.permission == RunPermission::Quarantined {
            return Err(Denial::Refuse(DenialReason::Quarantined));
        }
        let Some(target) = target else {
            return Err(Denial::ChooseAnother(DenialReason::Gone));
        };
        let known = self.boot.0 != 0 && target.boot.0 != 0;
        if known && self.boot != target.boot {
            return Err(Denial::ChooseAnother(DenialReason::Restarted));
        }
        if target.leaving {
            return Err(Denial::ChooseAnother(DenialReason::Leaving));
        }
        let other_software = self.software.is_some() && self.software != target.software.as_ref();
        if other_software && self.kind != SendKind::Prefill {
            return Err(Denial::ChooseAnother(DenialReason::Software));
        }
        check_hold(target, now)?;
        if source.is_some_and(|s| s.is_none_or(|s| !s.serves_copies(now))) {
            return Err(Denial::ChooseAnother(DenialReason::Source));
        }
        if target.limit.rate().is_some() && !self.permit {
            return Err(Denial::NotBefore(now + target.limit.wait(now), DenialReason::RateLimit));
        }
        Ok(())
    }
}

fn check_hold(target: &EngineView, now: Time) -> Result<(), Denial> {
    match target.is_held(now) {
        true => Err(Denial::NotBefore(target.held, DenialReason::HeldBack)),
        false => Ok(()),
    }
}
