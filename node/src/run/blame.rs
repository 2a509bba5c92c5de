use {
    super::task::{Target, Task},
    crate::ports::EngineError,
    lentil_core::{mesh::News, poison::Crash},
};

impl Task {
    /// Notes that an engine answered.
    pub(super) fn succeeded(&self, target: &Target) {
        if let Some(engine) = self.app.fleet().engine(&target.id) {
            engine.breaker.succeeded();
        }
    }

    /// Notes that an engine failed, and whether this request may have crashed it.
    pub(super) async fn note_failure(&self, target: &Target, error: &EngineError) {
        let refused = matches!(error, EngineError::Refused(_));
        if let Some(engine) = self.app.fleet().engine(&target.id) {
            match refused {
                // It lives, but takes nothing.
                true => engine.breaker.failed(self.app.now()),
                false => engine.breaker.trip(self.app.now()),
            }
            if !engine.breaker.allows(self.app.now()) {
                log::info!("breaker: target={} open after={:?}", target.id, error.to_string());
            }
        }
        if matches!(error, EngineError::Lost(_)) && self.has_crashed(target).await {
            self.blame(target);
        }
    }

    /// Whether the engine's process is gone or another one stands in its place. A cut connection
    /// alone is not a crash.
    async fn has_crashed(&self, target: &Target) -> bool {
        match self.app.ports.engines.report(target.address).await {
            Ok(report) => report.boot != target.boot,
            Err(EngineError::NotSent(_)) => true,
            Err(_) => false,
        }
    }

    fn blame(&self, target: &Target) {
        let (print, now) = (self.request.print, self.app.now());
        let crash = Crash { engine: target.id.clone(), boot: target.boot };
        if self.app.quarantine().crashed(print, crash.clone(), now) {
            log::warn!("poison: request {print} ran on engine {} as it crashed", target.id);
            self.app.view().tell(News::Crashed { print, crash });
        }
    }
}
