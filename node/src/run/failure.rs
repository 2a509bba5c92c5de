use {
    super::task::{Target, Task},
    crate::{app::App, mesh::report_crash, ports::EngineError},
    lentil_core::{ids::Fingerprint, poison::Crash},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Probes of a target that accepts connections but does not answer; if all of them fail, the target
/// does not count as crashed.
const CRASH_PROBES: u32 = 3;
/// Interval between these probes.
const CRASH_PROBE_INTERVAL: Duration = Duration::from_millis(100);

impl Task {
    /// Records that an engine answered, which closes its circuit breaker.
    pub(super) fn record_success(&self, target: &Target) {
        self.app.metrics.record_attempt(&target.id, "answered");
        if let Some(engine) = self.app.fleet().engine(&target.id) {
            engine.breaker.record_success();
        }
    }

    /// Records that an engine failed, and finds out whether it crashed while running this request.
    pub(super) async fn record_failure(&self, target: &Target, error: &EngineError) {
        let end = if error.not_run() { "refused" } else { "lost" };
        self.app.metrics.record_attempt(&target.id, end);
        // One lost answer or short time-out says little about a target that many requests share.
        // Its breaker opens after several failures in a row, or when the target has crashed.
        let proxied = self.request.proxied.is_some();
        let alive = matches!(error, EngineError::Refused(_))
            || proxied && !matches!(error, EngineError::NotSent(_) | EngineError::Misdirected);
        update_breaker(&self.app, target, alive, &error.to_string());
        if !matches!(error, EngineError::Lost(_)) {
            return;
        }
        let (app, fingerprint, target) =
            (self.app.clone(), self.request.fingerprint, target.clone());
        if proxied {
            // In the background, so that the request can be retried on another target at once.
            tokio::spawn(async move { investigate(&app, fingerprint, &target).await });
        } else {
            investigate(&app, fingerprint, &target).await;
        }
    }
}

/// Counts a failure in the target's circuit breaker, or opens it at once if the target is down.
fn update_breaker(app: &App, target: &Target, alive: bool, reason: &str) {
    let now = app.now();
    let mut fleet = app.fleet();
    let Some(engine) = fleet.engine(&target.id) else { return };
    let before = engine.breaker.allows(now);
    match alive {
        true => engine.breaker.record_failure(now),
        false => engine.breaker.trip(now),
    }
    if before && !engine.breaker.allows(now) {
        log::info!("breaker: target={} open after={reason:?}", target.id);
    }
}

/// Finds out whether a target that lost an answer has crashed, and reports the crash if so.
async fn investigate(app: &Arc<App>, fingerprint: Fingerprint, target: &Target) {
    let began = app.now();
    let verdict = find_verdict(app, target).await;
    app.metrics.crash_checks.with_label_values(&[verdict.label()]).inc();
    log::info!(
        "poison: target={} verdict={} request={fingerprint} ms={}",
        target.id,
        verdict.label(),
        (app.now() - began).as_millis()
    );
    if verdict != Verdict::Crashed {
        return;
    }
    update_breaker(app, target, false, "it has crashed");
    let crash = Crash { engine: target.id.clone(), boot: target.boot };
    report_crash(app, fingerprint, crash).await;
}

/// Result of the investigation of a target that lost an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// The same process answers.
    Alive,
    /// The process is gone or was replaced by another.
    Crashed,
    /// The target answers no probe.
    Silent,
}

impl Verdict {
    fn label(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Crashed => "crashed",
            Self::Silent => "silent",
        }
    }
}

/// Finds out whether the engine's process is gone or was replaced by another. A broken connection
/// alone is not a crash.
async fn find_verdict(app: &App, target: &Target) -> Verdict {
    for _ in 0..CRASH_PROBES {
        match app.ports.engines.report(target.address).await {
            Ok(report) if report.boot == target.boot => return Verdict::Alive,
            Ok(_) | Err(EngineError::NotSent(_)) => return Verdict::Crashed,
            // The port of a dying process may stay open for a while.
            Err(_) => sleep(CRASH_PROBE_INTERVAL).await,
        }
    }
    Verdict::Silent
}
