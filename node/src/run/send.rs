use {
    super::{
        attempt::{Attempt, AttemptEnd},
        engine_choice::MigratedRun,
        export::Export,
        in_flight::InFlightGuard,
        task::Task,
    },
    crate::{
        app::SendGate,
        ports::{Answer, CacheSource, EngineError, Job, ProxyAttempt, Target},
    },
    lentil_core::{gate::SendKind, ids::Tokens},
    smallvec::SmallVec,
};

/// Times that a send may be denied before the request is refused. Each denial shows in the state of
/// the target, so the next choice is another one.
pub(super) const MAX_DENIALS: u32 = 12;

impl Task {
    /// Records that a target that was chosen is sent nothing after all.
    pub(super) fn cancel_send(&self, target: &Target) {
        if let Some(engine) = self.app.fleet().engine(&target.id) {
            engine.breaker.cancel_send();
        }
    }
}

impl Attempt<'_> {
    /// Sends the request to the decode engine, and waits for the head of its answer.
    pub(super) async fn send_run(
        &mut self,
        mut export: Option<&mut Export>,
    ) -> Result<(Answer, InFlightGuard), AttemptEnd> {
        let target = self.choice.decode.clone();
        let permit = self.task.acquire_permit(&target).await.map_err(AttemptEnd::Denied)?;
        let prefilled = export.as_ref().and_then(|e| e.source());
        let prefill_here = if prefilled.is_some() { Tokens(0) } else { self.choice.prefill_tokens };
        let cache = prefilled.or_else(|| self.migrated.as_ref().map(MigratedRun::source));
        let kind = if cache.is_some() { SendKind::Decode } else { SendKind::Run };
        let gate = self.gate(&target, kind, permit);
        let routing = &self.task.request.routing;
        let guard = InFlightGuard::new(
            &self.task.app,
            &routing.model,
            &target.id,
            (prefill_here, routing.rank),
        );
        let job = self.job(&target, cache);
        let engines = self.task.app.ports.engines.clone();
        self.task.log_send(&target);
        // From here on a cancelled attempt may have run.
        let ran_before = std::mem::replace(&mut self.task.maybe_ran, true);
        self.task.runs_sent += 1;
        let running_before = self.task.running_at.replace((target.clone(), self.task.app.now()));
        match engines.generate(&target, job, &|| gate.check()).await {
            Ok(answer) => {
                self.task.record_sign(&target);
                if let Some(export) = &mut export {
                    export.mark_fetched();
                }
                if self.task.last_event.is_some() {
                    self.task.app.metrics.resumes.inc();
                }
                Ok((answer, guard))
            }
            Err(error) => {
                if error.not_run() {
                    self.task.maybe_ran = ran_before;
                }
                if error.not_sent() {
                    self.task.runs_sent -= 1;
                }
                if let EngineError::Denied(denial) = error {
                    self.task.running_at = running_before;
                    self.task.cancel_send(&target);
                    return Err(AttemptEnd::Denied(denial));
                }
                Err(AttemptEnd::Failed(self.record_error(&target, &error).await))
            }
        }
    }

    /// Returns the check that is made right before the first byte goes to the target.
    pub(super) fn gate(&self, target: &Target, kind: SendKind, permit: bool) -> SendGate {
        let request = &self.task.request;
        // Only the engine that prefills fetches cached blocks.
        let fetches = kind != SendKind::Decode && request.proxied.is_some();
        let source = self.choice.fetch_from.as_ref().filter(|_| fetches);
        SendGate {
            app: self.task.app.clone(),
            id: request.log_id(&self.run).to_owned(),
            kind,
            target: target.clone(),
            software: request.routing.software.clone(),
            source: source.map(|s| s.id.clone()),
            permit,
            subjects: if self.task.trial { SmallVec::new() } else { self.task.subjects() },
        }
    }

    pub(super) fn job(&self, target: &Target, cache: Option<CacheSource>) -> Job {
        let request = &self.task.request;
        Job {
            run: self.run.clone(),
            model: request.routing.model.clone(),
            adapter: request.routing.adapter.clone(),
            prompt: request.prompt.clone(),
            done: self.task.sent_tokens.clone(),
            max: request.max_tokens,
            priority: request.routing.class.priority,
            cache,
            proxied: self.proxy_attempt(target),
        }
    }

    fn proxy_attempt(&self, target: &Target) -> Option<ProxyAttempt> {
        let proxied = self.task.request.proxied.as_ref()?;
        Some(ProxyAttempt {
            request: proxied.request.clone(),
            target: target.id.clone(),
            remaining: proxied.deadline - self.task.app.now(),
            rank: self.task.request.routing.rank,
            last_event: self.task.last_event.or(proxied.last_event),
            streams: proxied.route.streams,
            fetch: self.choice.fetch_from.as_ref().map(|s| s.address),
        })
    }
}
