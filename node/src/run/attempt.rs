use {
    super::{
        task::{Chosen, Target, Task},
        Piece,
    },
    crate::{
        app::fresh,
        ports::{CacheSource, Chunks, EngineError, Job},
    },
    futures_util::StreamExt,
    lentil_core::{
        error::{ErrorKind, Fault},
        ids::RunId,
        stream::{Chunk, StreamCheck, Ticket},
    },
    std::sync::Arc,
};

/// How an attempt ended.
pub(super) enum Ended {
    /// The whole answer was passed on.
    Whole,
    /// The caller went away.
    CallerGone,
    /// The engine is emptied: the answer is to go on at others, from the run's KV cache.
    Moved(Chosen, CacheSource),
    /// The engine did not answer to the end.
    Failed(Fault),
}

/// One run of a request on chosen engines.
pub(super) struct Attempt<'a> {
    task: &'a mut Task,
    chosen: Chosen,
    run: RunId,
    /// The run that this one goes on from.
    origin: Option<CacheSource>,
}

/// Tokens left below which an answer ends where it is.
const FEW: u32 = 8;

impl<'a> Attempt<'a> {
    pub(super) fn new(task: &'a mut Task, chosen: Chosen, origin: Option<CacheSource>) -> Self {
        Self { task, chosen, run: fresh("r"), origin }
    }

    pub(super) async fn run(mut self) -> Ended {
        let cache = match self.prefill().await {
            Ok(cache) => cache,
            Err(fault) => return Ended::Failed(fault),
        };
        let job = self.job(cache);
        let target = self.chosen.decode.clone();
        let engines = self.task.app.ports.engines.clone();
        match engines.generate(target.address, job).await {
            Ok(chunks) => self.pass(chunks).await,
            Err(error) => Ended::Failed(self.failed(&target, &error).await),
        }
    }

    fn job(&self, cache: Option<CacheSource>) -> Job {
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
        }
    }

    async fn prefill(&mut self) -> Result<Option<CacheSource>, Fault> {
        if self.origin.is_some() {
            return Ok(self.origin.clone());
        }
        let Some(target) = self.chosen.prefill.clone() else { return Ok(None) };
        let job = self.job(None);
        let engines = self.task.app.ports.engines.clone();
        match engines.prefill(target.address, job).await {
            Ok(()) => {
                self.task.succeeded(&target);
                Ok(Some(CacheSource { address: target.address, run: self.run.clone() }))
            }
            Err(error) => Err(self.failed(&target, &error).await),
        }
    }

    async fn pass(&mut self, mut chunks: Chunks) -> Ended {
        let target = self.chosen.decode.clone();
        let base = self.task.done.len() as u64;
        let mut check = StreamCheck::new(self.run.clone(), base);
        let ticket = self.ticket(base);
        self.task.begun = true;
        while let Some(next) = chunks.next().await {
            let checked = next.and_then(|chunk| {
                let malformed =
                    |e: lentil_core::stream::ChunkError| EngineError::Malformed(e.to_string());
                check.pass(&chunk).map_err(malformed)?;
                Ok(chunk)
            });
            let sent = match checked {
                Ok(chunk) => self.send(chunk, &ticket).await,
                Err(error) => return Ended::Failed(self.failed(&target, &error).await),
            };
            if !sent {
                // The engine ends a run itself that nobody reads for a while; until then the
                // caller may resume it through any instance.
                return Ended::CallerGone;
            }
            self.leave_origin();
            if check.ended() {
                self.task.succeeded(&target);
                return Ended::Whole;
            }
            if let Some(chosen) = self.elsewhere() {
                self.task.succeeded(&target);
                let origin = CacheSource { address: target.address, run: self.run.clone() };
                return Ended::Moved(chosen, origin);
            }
        }
        let error = EngineError::Lost("answer broke off".into());
        Ended::Failed(self.failed(&target, &error).await)
    }

    /// Ends the run that this one went on from.
    fn leave_origin(&mut self) {
        let Some(origin) = self.origin.take() else { return };
        let engines = self.task.app.ports.engines.clone();
        tokio::spawn(async move {
            // An engine ends by itself a run that nobody reads.
            let _ = engines.cancel(origin.address, &origin.run).await;
        });
    }

    /// Where the answer should go on, if its engine is emptied and others are open.
    fn elsewhere(&mut self) -> Option<Chosen> {
        let left = self.task.request.max.saturating_sub(self.task.done.len() as u32);
        let id = &self.chosen.decode.id;
        let emptied = self.task.app.fleet().engine(id).is_some_and(|e| e.changing);
        if !emptied || left < FEW || self.task.alone.is_some() {
            return None;
        }
        let chosen = self.task.choose(1).ok()?;
        Some(Chosen { prefill: None, ..chosen })
    }

    fn ticket(&self, base: u64) -> Arc<str> {
        let ticket = Ticket {
            engine: self.chosen.decode.id.clone(),
            run: self.run.clone(),
            base,
            caller: self.task.request.caller.clone(),
        };
        ticket.seal(self.task.app.settings.mesh.key.as_bytes()).into()
    }

    async fn send(&mut self, chunk: Chunk, ticket: &Arc<str>) -> bool {
        if chunk.end.is_none() {
            self.task.first.get_or_insert(self.task.app.now());
            self.task.done.push(chunk.text.clone());
        }
        let piece = Piece::of(ticket.clone(), chunk);
        self.task.sender.send(Ok(piece)).await.is_ok()
    }

    /// Notes a failure of an engine and makes the fault that the caller gets if no other helps.
    async fn failed(&mut self, target: &Target, error: &EngineError) -> Fault {
        let kind = match error {
            EngineError::Refused(_) | EngineError::NotSent(_) => ErrorKind::NoTarget,
            EngineError::Timeout => ErrorKind::TargetTimeout,
            EngineError::Malformed(_) => ErrorKind::BadAnswer,
            _ => ErrorKind::TargetLost,
        };
        let certain = matches!(error, EngineError::Refused(_) | EngineError::NotSent(_));
        self.task.begun |= !certain;
        self.task.note_failure(target, error).await;
        log::info!("run: run {} failed on engine {}: {error}", self.run, target.id);
        Fault::new(kind, format!("engine {:?}: {error}", target.id.as_str()))
    }
}
