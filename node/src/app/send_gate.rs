use {
    super::App,
    crate::ports::{Target, TargetKind},
    lentil_core::{
        clock::Time,
        gate::{Denial, SendIntent, SendKind},
        ids::{EngineId, SoftwareVersion},
        poison::{RunPermission, Subject},
    },
    smallvec::SmallVec,
    std::sync::Arc,
};

/// One send to a target, which is checked once more when its connection is ready.
pub struct SendGate {
    /// The instance's state.
    pub app: Arc<App>,
    /// Id of the request in logs.
    pub id: String,
    /// What is sent.
    pub kind: SendKind,
    /// Addressee.
    pub target: Target,
    /// Software version that began the stream.
    pub software: Option<SoftwareVersion>,
    /// Engine from which the target fetches a part of the prompt.
    pub source: Option<EngineId>,
    /// Whether a permit for the send was acquired.
    pub permit: bool,
    /// The request and the parts of its prompt that may not be quarantined.
    pub subjects: SmallVec<[Subject; 8]>,
}

impl SendGate {
    /// Decides whether the target may be sent this now.
    ///
    /// # Errors
    /// What has to become of the request instead.
    pub fn check(&self) -> Result<(), Denial> {
        let app = &self.app;
        let now = app.now();
        let intent = SendIntent {
            kind: self.kind,
            boot: self.target.boot,
            software: self.software.as_ref(),
            permit: self.permit,
            permission: self.permission(now),
        };
        let result = {
            let fleet = app.fleet();
            let find = |id: &EngineId| fleet.engines.iter().find(|e| e.id == *id);
            intent.check(find(&self.target.id), self.source.as_ref().map(find), now)
        };
        result.inspect_err(|denial| app.record_denial(self.kind, &self.id, &self.target, *denial))
    }

    fn permission(&self, now: Time) -> RunPermission {
        match self.app.quarantine().quarantined_among(&self.subjects, now).is_empty() {
            true => RunPermission::Clear,
            false => RunPermission::Quarantined,
        }
    }
}

impl App {
    /// Decides whether a target may be sent a call that no caller has requested.
    ///
    /// # Errors
    /// The time before which it wants nothing.
    pub fn check_control(&self, target: &Target) -> Result<(), Denial> {
        let now = self.now();
        let result = {
            let fleet = self.fleet();
            let known = fleet.engines.iter().find(|e| e.id == target.id);
            SendIntent::CONTROL.check(known, None, now)
        };
        result.inspect_err(|denial| self.record_denial(SendKind::Control, "-", target, *denial))
    }

    /// Returns the addressee of a call to an engine; its incarnation is zero if it is not known at
    /// this address.
    pub fn addressee(&self, id: &EngineId, address: std::net::SocketAddr) -> Target {
        let known =
            self.fleet().engine(id).filter(|e| e.address == address).map(|e| Target::from_view(e));
        known.unwrap_or_else(|| Target {
            id: id.clone(),
            address,
            boot: lentil_core::ids::Incarnation(0),
            software: None,
            kind: TargetKind::Server,
        })
    }

    /// Logs and counts a send that was not made.
    pub fn record_denial(&self, kind: SendKind, id: &str, target: &Target, denial: Denial) {
        let reason = denial.reason().label();
        self.metrics.denied_sends.with_label_values(&[kind.label(), reason]).inc();
        let (kind, at, next) = (kind.label(), &target.id, denial.wait(self.now()).as_millis());
        log::info!("run: id={id} denied={reason} at={at} kind={kind} next_ms={next}");
    }
}
