use {
    super::{
        engine_choice::{EngineChoice, MigratedRun},
        in_flight::InFlightGuard,
        send::MAX_DENIALS,
        task::Task,
        AnswerSource, Piece,
    },
    crate::{
        app::random_id,
        ports::{Answer, AnswerHead, AnswerPart, EngineError, Target},
    },
    futures_util::StreamExt,
    lentil_core::{
        error::{ErrorKind, Fault, Outcome},
        gate::Denial,
        ids::RunId,
        stream::{Chunk, StreamCheck, Ticket},
    },
    std::sync::Arc,
};

/// How an attempt ended.
pub(super) enum AttemptEnd {
    /// The answer was forwarded completely.
    Completed,
    /// The caller disconnected.
    CallerGone,
    /// The engine is draining: the run continues on another engine, which fetches the KV cache.
    Migrated(Box<EngineChoice>, MigratedRun),
    /// Nothing was sent: the target may not be sent the request now.
    Denied(Denial),
    /// The attempt failed.
    Failed(Fault),
}

/// One attempt to run a request on the engines chosen for it.
pub(super) struct Attempt<'a> {
    pub(super) task: &'a mut Task,
    pub(super) choice: EngineChoice,
    pub(super) run: RunId,
    /// The run that this one continues on another engine.
    pub(super) migrated: Option<MigratedRun>,
    /// Head of the answer, held back until the first piece arrives: until then the request can be
    /// retried on another target.
    head: Option<AnswerHead>,
}

/// Fewest remaining output tokens for which a run is migrated.
const MIN_MIGRATION_TOKENS: u32 = 8;

impl<'a> Attempt<'a> {
    /// Creates an attempt; `migrated` is the run that it continues, if any.
    pub(super) fn new(
        task: &'a mut Task,
        choice: EngineChoice,
        migrated: Option<MigratedRun>,
    ) -> Self {
        Self { task, choice, run: random_id("r"), migrated, head: None }
    }

    /// Runs the request and forwards the answer to the caller.
    pub(super) async fn run(mut self) -> AttemptEnd {
        let mut export = match self.prefill().await {
            Ok(export) => export,
            Err(end) => return end,
        };
        let target = self.choice.decode.clone();
        if target.instance().is_some() {
            return match self.send_relayed(&target).await {
                Ok(answer) => self.forward(answer, None).await,
                Err(end) => end,
            };
        }
        let mut denials = 0;
        loop {
            if export.is_some() {
                self.choice.decode = self.task.choose_decode(&self.choice.decode);
            }
            match self.send_run(export.as_mut()).await {
                Ok((answer, guard)) => return self.forward(answer, Some(guard)).await,
                // The prefilled prompt stays; only the decode engine is chosen again.
                Err(AttemptEnd::Denied(denial)) if export.is_some() => {
                    denials += 1;
                    if denials >= MAX_DENIALS || matches!(denial, Denial::Refuse(_)) {
                        return AttemptEnd::Failed(denial.into_fault(self.task.app.now()));
                    }
                }
                Err(end) => return end,
            }
        }
    }

    /// Forwards the answer to the caller until it ends, fails, or the run migrates.
    async fn forward(&mut self, answer: Answer, mut guard: Option<InFlightGuard>) -> AttemptEnd {
        let Answer { head, software, mut parts } = answer;
        if software.is_some() {
            self.choice.decode.software = software;
        }
        let target = self.choice.decode.clone();
        let refused = head.as_ref().is_some_and(|h| h.status >= 400);
        if let Some(head) = head {
            if let Some(fault) = self.accept_head(head) {
                return AttemptEnd::Failed(fault);
            }
            // A plain service begins with the first byte of its response, a stream with an event.
            if !refused && !self.task.request.streams() {
                self.task.count_usage(&target);
            }
        }
        let base = self.task.sent_tokens.len() as u64;
        let mut check = StreamCheck::new(self.run.clone(), base);
        let ticket = self.ticket(base);
        self.task.maybe_ran = true;
        while let Some(next) = parts.next().await {
            if next.is_ok() {
                self.task.record_sign(&target);
                if !refused {
                    self.task.count_usage(&target);
                }
            }
            let sent = match next {
                Ok(AnswerPart::Chunk(chunk)) => match check.accept(&chunk) {
                    Ok(()) => self.forward_chunk(chunk, &ticket).await,
                    Err(e) => {
                        let error = EngineError::Malformed(e.to_string());
                        return AttemptEnd::Failed(self.record_error(&target, &error).await);
                    }
                },
                Ok(AnswerPart::Event { id, bytes }) => {
                    if self.task.last_event.or(self.resumed_after()).is_some_and(|last| id <= last)
                    {
                        let error =
                            EngineError::Malformed(format!("event id {id} does not increase"));
                        return AttemptEnd::Failed(self.record_error(&target, &error).await);
                    }
                    if self.task.last_event.replace(id).is_none() {
                        self.task.bind_stream(&target).await;
                    }
                    self.forward_bytes(bytes).await
                }
                Ok(AnswerPart::Body(bytes)) => self.forward_bytes(bytes).await,
                Err(error) => return AttemptEnd::Failed(self.record_error(&target, &error).await),
            };
            if !sent {
                // The run is not cancelled: the engine ends runs that nobody reads for a while, and
                // until then the caller can resume the stream through any instance.
                return AttemptEnd::CallerGone;
            }
            if guard.as_mut().is_some_and(InFlightGuard::mark_prefilled) {
                self.task.record_prefix_ready(&target);
            }
            self.cancel_source_run();
            if check.ended() {
                self.task.record_success(&target);
                return AttemptEnd::Completed;
            }
            if let Some(choice) = self.migrate() {
                self.task.record_success(&target);
                let run = MigratedRun { engine: target, run: self.run.clone() };
                return AttemptEnd::Migrated(Box::new(choice), run);
            }
        }
        if self.task.request.proxied.is_some() {
            return self.finish_body(&target).await;
        }
        let error = EngineError::Lost("the answer ended early".into());
        AttemptEnd::Failed(self.record_error(&target, &error).await)
    }

    /// Returns the id of the last event that the caller received before it resumed the stream.
    fn resumed_after(&self) -> Option<u64> {
        self.task.request.proxied.as_ref()?.last_event
    }

    /// Keeps the head of a proxied answer, or returns a fault if another target is to be tried.
    fn accept_head(&mut self, head: AnswerHead) -> Option<Fault> {
        self.task.maybe_ran = true;
        let failed = head.status >= 500;
        if failed && self.task.may_repeat() || self.task.head_sent && head.status != 200 {
            let text = format!("target answered with status {}", head.status);
            let target = self.choice.decode.id.clone();
            self.task.request.routing.excluded.push(target);
            return Some(Fault::new(ErrorKind::BadAnswer, text).with_outcome(Outcome::Ran));
        }
        if !self.task.head_sent {
            self.head = Some(head);
        }
        None
    }

    async fn send_head(&mut self) -> bool {
        let Some(head) = self.head.take() else { return true };
        self.task.head_sent = true;
        self.task.status = head.status;
        self.task.first_token.get_or_insert(self.task.app.now());
        let software = self.choice.decode.software.clone();
        let source = AnswerSource { software, sends: self.task.runs_sent };
        self.task.sender.send(Ok(Piece::Head(head, source))).await.is_ok()
    }

    async fn forward_bytes(&mut self, bytes: bytes::Bytes) -> bool {
        let now = self.task.app.now();
        if let Some(latest) = self.task.last_piece.replace(now) {
            self.task.longest_gap = self.task.longest_gap.max(now - latest);
        }
        self.send_head().await && self.task.sender.send(Ok(Piece::Bytes(bytes))).await.is_ok()
    }

    /// Ends a proxied answer that arrived completely.
    async fn finish_body(&mut self, target: &Target) -> AttemptEnd {
        let sent = self.send_head().await && self.task.sender.send(Ok(Piece::Done)).await.is_ok();
        self.task.record_success(target);
        if sent {
            AttemptEnd::Completed
        } else {
            AttemptEnd::CallerGone
        }
    }

    /// Cancels the run from which this one was migrated, once the new engine has sent a piece.
    fn cancel_source_run(&mut self) {
        let Some(MigratedRun { engine, run }) = self.migrated.take() else { return };
        let app = self.task.app.clone();
        tokio::spawn(async move {
            let check = || app.check_control(&engine);
            // If this fails, the engine itself ends a run that nobody reads.
            let _ = app.ports.engines.cancel(&engine, &run, &check).await;
        });
    }

    /// Chooses another engine for the rest of the run if this one is draining for an order.
    fn migrate(&mut self) -> Option<EngineChoice> {
        let remaining =
            self.task.request.max_tokens.saturating_sub(self.task.sent_tokens.len() as u32);
        let id = &self.choice.decode.id;
        let draining = self.task.app.fleet().engine(id).is_some_and(|e| e.draining);
        let proxied = self.task.request.proxied.is_some();
        if !draining || proxied || remaining < MIN_MIGRATION_TOKENS || self.task.isolated.is_some()
        {
            return None;
        }
        let choice = self.task.choose(1).ok()?;
        Some(EngineChoice { prefill: None, ..choice })
    }

    /// Returns the id with which the caller can resume the stream; empty for a proxied request.
    fn ticket(&self, base: u64) -> Arc<str> {
        if self.task.request.proxied.is_some() {
            return "".into();
        }
        let ticket = Ticket {
            engine: self.choice.decode.id.clone(),
            run: self.run.clone(),
            base,
            caller: self.task.request.caller.clone(),
        };
        ticket.seal(self.task.app.settings.mesh.key.as_bytes()).into()
    }

    /// Forwards a chunk to the caller; returns `false` if the caller has disconnected.
    async fn forward_chunk(&mut self, chunk: Chunk, ticket: &Arc<str>) -> bool {
        if chunk.end.is_none() {
            self.task.first_token.get_or_insert(self.task.app.now());
            self.task.sent_tokens.push(chunk.text.clone());
        }
        let piece = Piece::from_chunk(ticket.clone(), chunk);
        self.task.sender.send(Ok(piece)).await.is_ok()
    }

    /// Excludes the target from further attempts, records the failure and converts it into a fault.
    pub(super) async fn record_error(&mut self, target: &Target, error: &EngineError) -> Fault {
        let kind = match error {
            error if error.not_run() => ErrorKind::NoTarget,
            EngineError::Timeout => ErrorKind::TargetTimeout,
            EngineError::Malformed(_) => ErrorKind::BadAnswer,
            _ => ErrorKind::TargetLost,
        };
        self.task.request.routing.excluded.push(target.id.clone());
        if error.not_sent() {
            self.task.unreached.push(target.id.clone());
        }
        self.task.record_failure(target, error).await;
        let id = self.task.request.log_id(&self.run);
        let (begun, sends) = (self.task.maybe_ran, self.task.runs_sent);
        let at = &target.id;
        log::info!(
            "run: id={id} failed at={at} begun={begun} sends={sends} request={} error={error:?}",
            self.task.request.fingerprint,
            error = error.to_string()
        );
        match error {
            EngineError::GivenUp(fault) => fault.clone(),
            error => Fault::new(kind, format!("engine {:?}: {error}", target.id.as_str())),
        }
    }
}
