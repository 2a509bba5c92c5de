use {
    super::{
        export::Export,
        in_flight::InFlightGuard,
        task::{Chosen, Target, Task},
        Piece,
    },
    crate::{
        app::random_id,
        ports::{Answer, AnswerHead, AnswerPart, CacheSource, EngineError, Job, ProxiedCall},
    },
    futures_util::StreamExt,
    lentil_core::{
        error::{ErrorKind, Fault, Outcome},
        ids::{RunId, Tokens},
        stream::{Chunk, StreamCheck, Ticket},
    },
    std::sync::Arc,
};

/// How an attempt ended.
pub(super) enum AttemptEnd {
    /// The answer is whole.
    Completed,
    /// The caller went away.
    CallerGone,
    /// The engine is emptied: the run goes on with its KV cache on another engine.
    Migrated(Chosen, CacheSource),
    /// It failed.
    Failed(Fault),
}

/// One run of a request on the engines chosen for it.
pub(super) struct Attempt<'a> {
    task: &'a mut Task,
    chosen: Chosen,
    run: RunId,
    origin: Option<CacheSource>,
    /// Head of the answer until its first piece is there: before that, another target may answer.
    head: Option<AnswerHead>,
}

/// Output left below which a run is not moved.
const FEW: u32 = 8;

impl<'a> Attempt<'a> {
    /// An attempt; `origin` is where a run that goes on has its KV cache.
    pub(super) fn new(task: &'a mut Task, chosen: Chosen, origin: Option<CacheSource>) -> Self {
        Self { task, chosen, run: random_id("r"), origin, head: None }
    }

    /// Runs the request; passes on what comes.
    pub(super) async fn run(mut self) -> AttemptEnd {
        let mut export = match self.prefill().await {
            Ok(export) => export,
            Err(fault) => return AttemptEnd::Failed(fault),
        };
        if export.is_some() {
            self.chosen.decode = self.task.choose_decode(&self.chosen.decode);
        }
        let cache = export.as_ref().and_then(Export::source).or_else(|| self.origin.clone());
        let target = self.chosen.decode.clone();
        let direct = if export.is_some() { Tokens(0) } else { self.chosen.todo };
        let mut guard =
            InFlightGuard::new(&self.task.app, &target.id, direct, self.task.request.work.rank);
        let job = self.job(&target, cache);
        let engines = self.task.app.ports.engines.clone();
        // A run that is given up from here on may have begun.
        let begun = std::mem::replace(&mut self.task.begun, true);
        self.task.arrivals += 1;
        if self.task.last.is_some() {
            self.task.app.metrics.resumes.inc();
        }
        match engines.generate(target.address, job).await {
            Ok(answer) => {
                if let Some(export) = &mut export {
                    export.taken();
                }
                self.pass(answer, &mut guard).await
            }
            Err(error) => {
                if error.not_run() {
                    self.task.begun = begun;
                }
                if matches!(error, EngineError::NotSent(_)) {
                    self.task.arrivals -= 1;
                }
                AttemptEnd::Failed(self.failed(&target, &error).await)
            }
        }
    }

    fn job(&self, target: &Target, cache: Option<CacheSource>) -> Job {
        let request = &self.task.request;
        Job {
            run: self.run.clone(),
            model: request.work.model.clone(),
            adapter: request.work.adapter.clone(),
            prompt: request.prompt.clone(),
            done: self.task.done.clone(),
            max: request.max,
            priority: request.work.class.priority,
            cache,
            proxied: self.proxied_call(target),
        }
    }

    fn proxied_call(&self, target: &Target) -> Option<ProxiedCall> {
        let proxied = self.task.request.proxied.as_ref()?;
        Some(ProxiedCall {
            call: proxied.call.clone(),
            target: target.id.clone(),
            remaining: proxied.deadline - self.task.app.now(),
            rank: self.task.request.work.rank,
            last_event: self.task.last.or(proxied.last_event),
            streams: proxied.route.streams,
            fetch: self.chosen.fetch,
        })
    }

    async fn prefill(&mut self) -> Result<Option<Export>, Fault> {
        if self.origin.is_some() {
            return Ok(None);
        }
        let Some(target) = self.chosen.prefill.clone() else { return Ok(None) };
        let app = self.task.app.clone();
        self.task.prefills += 1;
        let idle = app.fleet().engine(&target.id).is_none_or(|e| e.load.idle(app.now()));
        let guard =
            InFlightGuard::new(&app, &target.id, self.chosen.todo, self.task.request.work.rank);
        let begun = app.now();
        let job = self.job(&target, None);
        match app.ports.engines.prefill(target.address, job).await {
            Ok(run) => {
                drop(guard);
                self.task.record_success(&target);
                self.task.placed(&target);
                let spent = app.now() - begun;
                if idle {
                    self.learn(spent);
                }
                let id = self.task.request.name(&self.run);
                let (todo, ms) = (self.chosen.todo, spent.as_millis());
                log::info!(
                    "run: id={id} prefilled at={} tokens={todo} idle={idle} ms={ms}",
                    target.id
                );
                let source = CacheSource { address: target.address, run };
                Ok(Some(Export::new(&app, source)))
            }
            Err(error) => {
                self.task.begun |= !error.not_run() && self.task.request.proxied.is_none();
                Err(self.failed(&target, &error).await)
            }
        }
    }

    /// Learns the prefill rate from a prompt that an idle engine prefilled.
    fn learn(&self, spent: std::time::Duration) {
        let tokens = self.chosen.todo.0 as f64;
        let model = &self.task.request.work.model;
        let rate = tokens / spent.as_secs_f64().max(1e-6);
        if self.chosen.todo >= super::task::MIN_RATE_TOKENS {
            self.task.app.fleet().update_rates(model, |rates| rates.prefill.observe(rate));
        }
    }

    async fn pass(&mut self, answer: Answer, guard: &mut InFlightGuard) -> AttemptEnd {
        let Answer { head, mut parts } = answer;
        if let Some(head) = head {
            if let Some(fault) = self.take_head(head) {
                return AttemptEnd::Failed(fault);
            }
        }
        let target = self.chosen.decode.clone();
        let base = self.task.done.len() as u64;
        let mut check = StreamCheck::new(self.run.clone(), base);
        let ticket = self.ticket(base);
        self.task.begun = true;
        while let Some(next) = parts.next().await {
            let sent = match next {
                Ok(AnswerPart::Chunk(chunk)) => match check.accept(&chunk) {
                    Ok(()) => self.send(chunk, &ticket).await,
                    Err(e) => {
                        let error = EngineError::Malformed(e.to_string());
                        return AttemptEnd::Failed(self.failed(&target, &error).await);
                    }
                },
                Ok(AnswerPart::Event { id, bytes }) => {
                    if self.task.last.or(self.last_event()).is_some_and(|last| id <= last) {
                        let error = EngineError::Malformed(format!("event {id} comes twice"));
                        return AttemptEnd::Failed(self.failed(&target, &error).await);
                    }
                    self.task.last = Some(id);
                    self.pass_bytes(bytes).await
                }
                Ok(AnswerPart::Body(bytes)) => self.pass_bytes(bytes).await,
                Err(error) => return AttemptEnd::Failed(self.failed(&target, &error).await),
            };
            if !sent {
                // The engine ends a run itself that nobody reads for a while; until then the
                // caller may resume it through any instance.
                return AttemptEnd::CallerGone;
            }
            if guard.prefilled() {
                self.task.placed(&target);
            }
            self.leave_origin();
            if check.ended() {
                self.task.record_success(&target);
                return AttemptEnd::Completed;
            }
            if let Some(chosen) = self.elsewhere() {
                self.task.record_success(&target);
                let origin = CacheSource { address: target.address, run: self.run.clone() };
                return AttemptEnd::Migrated(chosen, origin);
            }
        }
        if self.task.request.proxied.is_some() {
            return self.whole(&target).await;
        }
        let error = EngineError::Lost("answer broke off".into());
        AttemptEnd::Failed(self.failed(&target, &error).await)
    }

    fn last_event(&self) -> Option<u64> {
        self.task.request.proxied.as_ref()?.last_event
    }

    /// Keeps the head of an answer that is passed on; a fault if another target is to answer.
    fn take_head(&mut self, head: AnswerHead) -> Option<Fault> {
        self.task.begun = true;
        let failed = head.status >= 500;
        if failed && self.task.may_run_again() || self.task.headed && head.status != 200 {
            let text = format!("target answered with status {}", head.status);
            let target = self.chosen.decode.id.clone();
            self.task.request.work.excluded.push(target);
            return Some(Fault::new(ErrorKind::BadAnswer, text).with_outcome(Outcome::Ran));
        }
        if !self.task.headed {
            self.head = Some(head);
        }
        None
    }

    async fn send_head(&mut self) -> bool {
        let Some(head) = self.head.take() else { return true };
        self.task.headed = true;
        self.task.status = head.status;
        self.task.first.get_or_insert(self.task.app.now());
        self.task.sender.send(Ok(Piece::Head(head))).await.is_ok()
    }

    async fn pass_bytes(&mut self, bytes: bytes::Bytes) -> bool {
        let now = self.task.app.now();
        if let Some(latest) = self.task.latest.replace(now) {
            self.task.gap = self.task.gap.max(now - latest);
        }

        self.send_head().await && self.task.sender.send(Ok(Piece::Bytes(bytes))).await.is_ok()
    }

    /// Ends an answer that was passed on whole.
    async fn whole(&mut self, target: &Target) -> AttemptEnd {
        let sent = self.send_head().await && self.task.sender.send(Ok(Piece::Done)).await.is_ok();
        self.task.record_success(target);
        if sent {
            AttemptEnd::Completed
        } else {
            AttemptEnd::CallerGone
        }
    }

    /// Ends the run that this one goes on from, once a piece has come.
    fn leave_origin(&mut self) {
        let Some(origin) = self.origin.take() else { return };
        let engines = self.task.app.ports.engines.clone();
        tokio::spawn(async move {
            // An engine ends by itself a run that nobody reads.
            let _ = engines.cancel(origin.address, &origin.run).await;
        });
    }

    /// Another engine for the rest, if this one is being emptied for an order.
    fn elsewhere(&mut self) -> Option<Chosen> {
        let left = self.task.request.max.saturating_sub(self.task.done.len() as u32);
        let id = &self.chosen.decode.id;
        let emptied = self.task.app.fleet().engine(id).is_some_and(|e| e.draining);
        let proxied = self.task.request.proxied.is_some();
        if !emptied || proxied || left < FEW || self.task.isolated.is_some() {
            return None;
        }
        let chosen = self.task.choose(1).ok()?;
        Some(Chosen { prefill: None, ..chosen })
    }

    fn ticket(&self, base: u64) -> Arc<str> {
        if self.task.request.proxied.is_some() {
            return "".into();
        }
        let ticket = Ticket {
            engine: self.chosen.decode.id.clone(),
            run: self.run.clone(),
            base,
            caller: self.task.request.caller.clone(),
        };
        ticket.seal(self.task.app.settings.mesh.key.as_bytes()).into()
    }

    /// Sends a piece to the caller; false if it is gone.
    async fn send(&mut self, chunk: Chunk, ticket: &Arc<str>) -> bool {
        if chunk.end.is_none() {
            self.task.first.get_or_insert(self.task.app.now());
            self.task.done.push(chunk.text.clone());
        }
        let piece = Piece::of(ticket.clone(), chunk);
        self.task.sender.send(Ok(piece)).await.is_ok()
    }

    /// Notes a failure and says it as a fault.
    async fn failed(&mut self, target: &Target, error: &EngineError) -> Fault {
        let kind = match error {
            error if error.not_run() => ErrorKind::NoTarget,
            EngineError::Timeout => ErrorKind::TargetTimeout,
            EngineError::Malformed(_) => ErrorKind::BadAnswer,
            _ => ErrorKind::TargetLost,
        };
        self.task.request.work.excluded.push(target.id.clone());
        self.task.record_failure(target, error).await;
        let id = self.task.request.name(&self.run);
        let (begun, sends) = (self.task.begun, self.task.arrivals);
        let at = &target.id;
        log::info!(
            "run: id={id} failed at={at} begun={begun} sends={sends} error={error:?}",
            error = error.to_string()
        );
        Fault::new(kind, format!("engine {:?}: {error}", target.id.as_str()))
    }
}
