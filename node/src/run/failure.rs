use {
    super::task::Task,
    crate::{
        app::App,
        mesh::{clear_blame, is_reached_by_others, report_crash, ReportedBy},
        ports::{EngineError, Target},
        reach::{begin_check, probe_some, probe_target},
    },
    futures_util::{
        future::{BoxFuture, Shared},
        FutureExt,
    },
    lentil_core::{
        clock::Time,
        ids::{EngineId, Incarnation},
        poison::{Crash, OtherTargets, Subject, Verdict},
    },
    smallvec::SmallVec,
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Probes of a target that does not answer; if all of them fail, it counts as silent.
const CRASH_PROBES: u32 = 3;
/// Interval between these probes.
const CRASH_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time without an answer of the target after which an abandoned attempt is investigated. Shorter
/// silences are usual while prompts queue.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// Time for which a check of a service that is down is not repeated.
const DOWN_VALIDITY: Duration = Duration::from_secs(1);
/// Other targets that are asked whether they answer, if none has sent anything meanwhile.
const OTHERS_PROBED: usize = 4;

type PendingVerdict = Shared<BoxFuture<'static, (Verdict, OtherTargets)>>;

/// Investigations in progress. All requests that failed on a target share one.
#[derive(Default)]
pub struct Investigations(HashMap<(EngineId, Incarnation), PendingVerdict>);

impl Task {
    /// Records that an engine answered, which closes its circuit breaker.
    pub(super) fn record_success(&self, target: &Target) {
        if target.instance().is_some() {
            return self.app.metrics.record_relayed(&target.id, "answered");
        }
        self.app.metrics.record_attempt(&target.id, "answered");
        let now = self.app.now();
        if let Some(engine) = self.app.fleet().engine(&target.id) {
            if engine.breaker.is_open() {
                log::info!("breaker: target={} closed", target.id);
            }
            engine.breaker.record_success();
            engine.last_answer = now;
        }
    }

    /// Records that an engine failed, and finds out whether it crashed while running this request.
    pub(super) async fn record_failure(&self, target: &Target, error: &EngineError) {
        if target.instance().is_some() {
            return self.record_relay_failure(target, error);
        }
        match error {
            EngineError::Refused(_) | EngineError::Misdirected | EngineError::Malformed(_) => {
                self.record_sign(target);
            }
            _ => self.record_no_answer(target),
        }
        let end = if error.not_run() { "refused" } else { "lost" };
        self.app.metrics.record_attempt(&target.id, end);
        // One lost answer or short time-out says little about a target that many requests share.
        // Its breaker opens after several failures in a row, or when the target has crashed.
        let proxied = self.request.proxied.is_some();
        let unreachable = error.not_sent() || matches!(error, EngineError::Misdirected);
        let alive = matches!(error, EngineError::Refused(_)) || proxied && !unreachable;
        self.app.record_target_failure(target, alive, &error.to_string());
        let suspicious = match error {
            EngineError::Lost(_) => true,
            EngineError::Timeout => self.is_silent(target),
            _ => false,
        };
        if !suspicious {
            return;
        }
        let investigation = investigate(self.app.clone(), self.subjects(), target.clone());
        if proxied {
            // In the background, so that the request can be retried on another target at once.
            tokio::spawn(investigation);
        } else {
            investigation.await;
        }
    }

    /// Counts a failure of the target if it has sent nothing of the answer by the deadline, whether or
    /// not parts of a head arrived.
    pub(super) fn record_missed_deadline(&self) {
        if let Some((target, _)) = self.running_at.as_ref().filter(|_| self.last_piece.is_none()) {
            self.app.record_target_failure(target, true, "no answer by the deadline");
        }
    }

    /// Investigates the target of an attempt that ended by its deadline or because the caller
    /// disconnected: the target may have crashed without closing its connections.
    pub(super) fn investigate_abandoned(&mut self) {
        let Some((target, _)) = &self.running_at else { return };
        if self.is_silent(target) {
            let (app, target) = (self.app.clone(), target.clone());
            tokio::spawn(investigate(app, self.subjects(), target));
        }
        self.running_at = None;
    }

    /// Returns the request and the parts of its prompt, to which a crash may be due.
    pub(super) fn subjects(&self) -> SmallVec<[Subject; 8]> {
        let parts = self.request.shared_parts().iter().copied().map(Subject::from);
        [self.request.fingerprint.into()].into_iter().chain(parts).collect()
    }

    /// Clears the request and the parts of its prompt of all blame: a target has completed the answer.
    pub(super) fn clear_blame(&self) {
        clear_blame(&self.app, &self.subjects(), ReportedBy::Target);
    }

    /// Returns whether a target has sent neither a piece of this answer nor another answer for
    /// [`MIN_SILENCE`].
    fn is_silent(&self, target: &Target) -> bool {
        let sent = self.running_at.as_ref().map(|(_, sent)| *sent);
        let answered = self.app.fleet().engine(&target.id).map(|e| e.last_answer);
        let latest = [sent, self.last_piece, answered].into_iter().flatten().max();
        self.app.now() - latest.unwrap_or(Time::ZERO) >= MIN_SILENCE
    }
}

/// Finds out whether a target that lost an answer has crashed, and reports the crash if so.
async fn investigate(app: Arc<App>, subjects: SmallVec<[Subject; 8]>, target: Target) {
    let began = app.now();
    let (verdict, others) = join_investigation(&app, &target).await;
    let now = app.now();
    let others_answer = others == OtherTargets::Answer;
    log::info!(
        "poison: target={} verdict={} others_answer={others_answer} {} ms={}",
        target.id,
        verdict.label(),
        subjects[0],
        (now - began).as_millis()
    );
    if !verdict.is_crash(others) {
        return;
    }
    app.record_target_failure(&target, false, "it has crashed");
    report_crash(&app, &subjects, Crash { engine: target.id, boot: target.boot }).await;
}

/// Finds out whether other targets of the service have sent anything since the investigation began;
/// they are asked for reports if not.
async fn other_targets(app: &Arc<App>, target: &Target, began: Time) -> OtherTargets {
    let service = {
        let mut fleet = app.fleet();
        let Some(service) = fleet.engine(&target.id).map(|e| e.model.clone()) else {
            return OtherTargets::Absent;
        };
        if !fleet.engines.iter().any(|e| e.model == service && e.id != target.id) {
            return OtherTargets::Absent;
        }
        service
    };
    let heard = || app.reach().of(&service).last_sign().is_some_and(|at| at > began);
    if app.reach().is_cut_off(&service) {
        return OtherTargets::Quiet;
    }
    if !heard() {
        probe_some(app, &service, OTHERS_PROBED).await;
    }
    let is_down = || app.reach().of(&service).is_down_since(began.earlier(DOWN_VALIDITY));
    if !heard() && !is_down() {
        begin_check(app, &service).await;
    }
    match heard() {
        true => OtherTargets::Answer,
        false if is_down() => OtherTargets::Down,
        false => OtherTargets::Quiet,
    }
}

/// Starts an investigation of the target, or joins the one in progress.
fn join_investigation(app: &Arc<App>, target: &Target) -> PendingVerdict {
    let mut investigations = app.investigations();
    investigations.0.retain(|_, verdict| verdict.peek().is_none());
    let key = (target.id.clone(), target.boot);
    let start = || {
        let (app, target) = (app.clone(), target.clone());
        async move {
            let began = app.now();
            let mut verdict = probe(&app, &target).await;
            let mut others = OtherTargets::Quiet;
            if verdict.needs_others() {
                others = other_targets(&app, &target, began).await;
                if verdict.is_crash(others) && is_reached_by_others(&app, &target).await {
                    verdict = Verdict::Unreached;
                }
            }
            app.metrics.crash_checks.with_label_values(&[verdict.label()]).inc();
            (verdict, others)
        }
        .boxed()
        .shared()
    };
    investigations.0.entry(key).or_insert_with(start).clone()
}

/// Finds out whether the target's process is gone or was replaced by another.
async fn probe(app: &App, target: &Target) -> Verdict {
    for _ in 0..CRASH_PROBES {
        let verdict = probe_target(app, target).await;
        if verdict != Verdict::Silent {
            return verdict;
        }
        // The port of a dying process may stay open for a while.
        sleep(CRASH_PROBE_INTERVAL).await;
    }
    Verdict::Silent
}
