use {
    super::{
        attempt::{Attempt, AttemptEnd},
        export::Export,
        in_flight::InFlightGuard,
        task::MIN_RATE_TOKENS,
    },
    crate::{
        app::WorkKind,
        ports::{EngineError, Target},
    },
    lentil_core::{gate::SendKind, route::shared_prefix_tokens},
    std::time::Duration,
};

impl Attempt<'_> {
    /// Prefills the prompt if a separate engine was chosen for that; returns its KV cache, kept for
    /// export.
    pub(super) async fn prefill(&mut self) -> Result<Option<Export>, AttemptEnd> {
        if self.migrated.is_some() {
            return Ok(None);
        }
        let Some(target) = self.choice.prefill.clone() else { return Ok(None) };
        let permit = self.task.acquire_permit(&target).await.map_err(AttemptEnd::Denied)?;
        let app = self.task.app.clone();
        let gate = self.gate(&target, SendKind::Prefill, permit);
        self.task.prefills_sent += 1;
        let idle = app.fleet().engine(&target.id).is_none_or(|e| e.load.idle(app.now()));
        let routing = &self.task.request.routing;
        let work = (self.choice.prefill_tokens, routing.rank);
        let guard = InFlightGuard::new(&app, &routing.model, &target.id, work);
        let start = app.now();
        let job = self.job(&target, None);
        self.task.running_at = Some((target.clone(), start));
        match app.ports.engines.prefill(&target, job, &|| gate.check()).await {
            Ok(run) => {
                drop(guard);
                self.task.record_sign(&target);
                self.task.record_success(&target);
                self.task.record_prefix_ready(&target);
                let shared = shared_prefix_tokens(&self.task.request.routing).0 as f64;
                let model = &self.task.request.routing.model;
                app.fleet().update_rates(model, |rates| rates.shared_tokens.observe(shared));
                let elapsed = app.now() - start;
                // An assumed hit may have been none, and then the engine read more.
                if idle && !self.choice.assumed {
                    self.observe_prefill_rate(elapsed);
                    self.observe_prefill_speed(&target, elapsed);
                }
                let id = self.task.request.log_id(&self.run);
                let (tokens, ms) = (self.choice.prefill_tokens, elapsed.as_millis());
                log::info!(
                    "run: id={id} prefilled at={} tokens={tokens} idle={idle} ms={ms}",
                    target.id
                );
                Ok(Some(Export::new(&app, target, run)))
            }
            Err(EngineError::Denied(denial)) => {
                self.task.prefills_sent -= 1;
                self.task.running_at = None;
                self.task.cancel_send(&target);
                Err(AttemptEnd::Denied(denial))
            }
            Err(error) => {
                self.task.maybe_ran |= !error.not_run() && self.task.request.proxied.is_none();
                Err(AttemptEnd::Failed(self.record_error(&target, &error).await))
            }
        }
    }

    /// Learns the target's lasting prefill speed from a prompt measured on an idle engine.
    fn observe_prefill_speed(&self, target: &Target, elapsed: Duration) {
        let tokens = self.choice.prefill_tokens;
        if tokens < MIN_RATE_TOKENS {
            return;
        }
        let (seconds, now) = (elapsed.as_secs_f64() / tokens.0 as f64, self.task.app.now());
        let mut fleet = self.task.app.fleet();
        let Some(pace) = fleet.engine(&target.id).map(|e| e.pace.at(now)) else { return };
        fleet.record_speed(&target.id, WorkKind::Prefill, seconds, pace);
    }

    /// Records the prefill rate measured on an idle engine; short prompts are ignored.
    fn observe_prefill_rate(&self, elapsed: Duration) {
        let tokens = self.choice.prefill_tokens.0 as f64;
        let model = &self.task.request.routing.model;
        let rate = tokens / elapsed.as_secs_f64().max(1e-6);
        if self.choice.prefill_tokens >= MIN_RATE_TOKENS {
            self.task.app.fleet().update_rates(model, |rates| rates.prefill.observe(rate));
        }
    }
}
