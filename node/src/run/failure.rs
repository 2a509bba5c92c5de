use {
    super::task::{Target, Task},
    crate::{app::App, ports::EngineError},
    lentil_core::{ids::Fingerprint, mesh::Update, poison::Crash},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Questions after which a target that answers none and takes connections is not called crashed.
const LOOKS: u32 = 3;
/// Pause between them.
const AGAIN: Duration = Duration::from_millis(100);

impl Task {
    /// Notes that an engine answered.
    pub(super) fn record_success(&self, target: &Target) {
        self.app.metrics.record_answer(&target.id, "answered");
        if let Some(engine) = self.app.fleet().engine(&target.id) {
            engine.breaker.succeeded();
        }
    }

    /// Notes that an engine failed, and whether this request may have crashed it.
    pub(super) async fn record_failure(&self, target: &Target, error: &EngineError) {
        let end = if error.not_run() { "refused" } else { "lost" };
        self.app.metrics.record_answer(&target.id, end);
        // One lost answer or a short time-out tells little of a target that many requests share:
        // it is shut out after several in a row, or when it has crashed.
        let proxied = self.request.proxied.is_some();
        let lives = matches!(error, EngineError::Refused(_))
            || proxied && !matches!(error, EngineError::NotSent(_) | EngineError::Misdirected);
        shut_out(&self.app, target, lives, &error.to_string());
        if !matches!(error, EngineError::Lost(_)) {
            return;
        }
        let (app, print, target) = (self.app.clone(), self.request.fingerprint, target.clone());
        if proxied {
            // The request goes on elsewhere meanwhile.
            tokio::spawn(async move { investigate(&app, print, &target).await });
        } else {
            investigate(&app, print, &target).await;
        }
    }
}

/// Counts a failure against a target, or shuts it out at once.
fn shut_out(app: &App, target: &Target, lives: bool, why: &str) {
    let now = app.now();
    let mut fleet = app.fleet();
    let Some(engine) = fleet.engine(&target.id) else { return };
    let before = engine.breaker.allows(now);
    match lives {
        true => engine.breaker.failed(now),
        false => engine.breaker.trip(now),
    }
    if before && !engine.breaker.allows(now) {
        log::info!("breaker: target={} open after={why:?}", target.id);
    }
}

/// Finds out whether a target that lost an answer has crashed.
async fn investigate(app: &Arc<App>, print: Fingerprint, target: &Target) {
    if !has_crashed(app, target).await {
        return;
    }
    shut_out(app, target, false, "it has crashed");
    let crash = Crash { engine: target.id.clone(), boot: target.boot };
    let now = app.now();
    if app.quarantine().record_crash(print, crash.clone(), now) {
        log::warn!("poison: request {print} ran on engine {} as it crashed", target.id);
        app.view().queue_update(Update::Crashed { print, crash });
    }
}

/// Whether the engine's process is gone or another one stands in its place. A cut connection
/// alone is not a crash.
async fn has_crashed(app: &App, target: &Target) -> bool {
    for _ in 0..LOOKS {
        match app.ports.engines.report(target.address).await {
            Ok(report) => return report.boot != target.boot,
            Err(EngineError::NotSent(_)) => return true,
            // A process that dies may still have its port.
            Err(_) => sleep(AGAIN).await,
        }
    }
    false
}
