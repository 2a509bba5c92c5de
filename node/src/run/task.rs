use {
    super::{
        attempt::{Attempt, AttemptEnd},
        piece::QUEUE,
        Piece, Pieces, Request,
    },
    crate::{app::App, ports::CacheSource},
    lentil_core::{
        clock::Time,
        error::{ErrorKind, Fault, Outcome},
        fleet::EngineView,
        ids::{EngineId, Tokens},
        poison::RunPermission,
    },
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// Pause before a run is tried again when no engine is open for it.
const PAUSE: Duration = Duration::from_millis(50);
/// Time within which all instances have heard of a crash.
const SPREAD: Duration = Duration::from_secs(1);
/// Factor by which an idle engine may be faster than its class asks.
const QUICK: u32 = 4;
/// Times that one request is begun at most.
const MAX_TRIES: u32 = 6;

/// Begins a run; its pieces come as they are made.
pub fn start(app: Arc<App>, request: Request) -> Pieces {
    let (sender, receiver) = mpsc::channel(QUEUE);
    tokio::spawn(Task::new(app, request, sender).run());
    Pieces::new(receiver)
}

/// Tokens below which a prefill tells nothing of an engine's rate.
pub(super) const MIN_RATE_TOKENS: Tokens = Tokens(1_000);
/// Time left below which a further target is of no use.
const LEAST: Duration = Duration::from_millis(30);

/// One request on its way through one engine after another until it is answered.
pub(super) struct Task {
    pub(super) app: Arc<App>,
    pub(super) request: Request,
    pub(super) sender: mpsc::Sender<Result<Piece, Fault>>,
    /// Tokens passed on so far.
    pub(super) done: Vec<String>,
    /// When the first token was passed on.
    pub(super) first: Option<Time>,
    /// Whether an engine may have begun it.
    pub(super) begun: bool,
    /// The engine that it runs on as the only suspect.
    pub(super) isolated: Option<EngineId>,
    /// Requests that reached targets to be run.
    pub(super) arrivals: u32,
    /// Requests that reached targets to be prefilled.
    pub(super) prefills: u32,
    /// Whether the head of an answer was passed on.
    pub(super) headed: bool,
    /// When the latest piece was passed on, and the longest pause before one.
    pub(super) latest: Option<Time>,
    pub(super) gap: Duration,
    /// Status of that head.
    pub(super) status: u16,
    /// The last event passed on.
    pub(super) last: Option<u64>,
}

/// Engines chosen for an attempt.
#[derive(Debug, Clone)]
pub(super) struct Chosen {
    pub(super) decode: Target,
    pub(super) prefill: Option<Target>,
    /// Tokens to prefill.
    pub(super) todo: Tokens,
    /// Engine that has the prompt's shared part, if the prefilling one does not.
    pub(super) fetch: Option<std::net::SocketAddr>,
}

/// An engine with its address.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) id: EngineId,
    pub(super) address: std::net::SocketAddr,
    pub(super) boot: lentil_core::ids::Incarnation,
}

impl Target {
    pub(super) fn of(engine: &EngineView) -> Self {
        Self { id: engine.id.clone(), address: engine.address, boot: engine.boot }
    }
}

impl Task {
    fn new(app: Arc<App>, request: Request, sender: mpsc::Sender<Result<Piece, Fault>>) -> Self {
        Self {
            app,
            request,
            sender,
            done: Vec::new(),
            first: None,
            begun: false,
            isolated: None,
            arrivals: 0,
            prefills: 0,
            headed: false,
            latest: None,
            gap: Duration::ZERO,
            status: 0,
            last: None,
        }
    }

    async fn run(mut self) {
        let Ok(_place) = self.app.run_permits.clone().try_acquire_owned() else {
            let fault = Fault::new(ErrorKind::NoCapacity, "too many answers are in work");
            return self.fail(fault).await;
        };
        self.count();
        let mut tries = 0;
        let mut moved = None;
        loop {
            let (chosen, origin) = match moved.take() {
                Some((chosen, origin)) => (chosen, Some(origin)),
                None => match self.choose(tries) {
                    Ok(chosen) => (chosen, None),
                    Err(fault) if self.may_wait(&fault, tries) => {
                        sleep(PAUSE).await;
                        continue;
                    }
                    Err(fault) => return self.fail(fault).await,
                },
            };
            tries += u32::from(origin.is_none());
            let ended = self.attempt(chosen, origin).await;
            self.release_isolated();
            match ended {
                AttemptEnd::Completed => return self.finish(),
                AttemptEnd::CallerGone => return self.left(),
                AttemptEnd::Migrated(chosen, origin) => moved = Some((chosen, origin)),
                AttemptEnd::Failed(fault) => {
                    if tries >= MAX_TRIES || !self.may_go_on(&fault) {
                        return self.fail(fault).await;
                    }
                    self.app.metrics.retries.inc();
                    self.let_news_come().await;
                }
            }
        }
    }

    /// A request whose engines were lost, or that waits for one of its own, waits for an engine
    /// to open while it could still end in time. A fresh one is refused at once.
    fn may_wait(&self, fault: &Fault, tries: u32) -> bool {
        let (now, work) = (self.app.now(), &self.request.work);
        let left = work.output - Tokens(self.done.len() as u64);
        let needed = (work.class.between.duration() / QUICK).saturating_mul(left.0 as u32);
        let deadline = self.request.arrived + work.class.deadline.duration();
        let standing = self.app.quarantine().permission(self.request.fingerprint, now);
        let waits = tries > 0 || standing == RunPermission::Isolate;
        fault.kind == ErrorKind::NoTarget && waits && now + needed < deadline
    }

    /// A suspect waits until the instances have heard of each other's crashes.
    async fn let_news_come(&self) {
        let standing = self.app.quarantine().permission(self.request.fingerprint, self.app.now());
        if standing == RunPermission::Isolate {
            sleep(SPREAD).await;
        }
    }

    /// Counts the request in the allowance of resends.
    fn count(&self) {
        let now = self.app.now();
        match self.request.proxied {
            None => self.app.admission().retries.record_request(),
            Some(_) => self.app.admission().count_request(&self.request.work.model, now),
        }
    }

    /// One attempt, which ends with the caller's patience if the request is passed on.
    async fn attempt(&mut self, chosen: Chosen, origin: Option<CacheSource>) -> AttemptEnd {
        let Some(deadline) = self.request.proxied.as_ref().map(|r| r.deadline) else {
            return Attempt::new(self, chosen, origin).run().await;
        };
        let left = deadline - self.app.now();
        let sender = self.sender.clone();
        tokio::select! {
            biased;
            () = sender.closed() => AttemptEnd::CallerGone,
            ended = timeout(left, Attempt::new(self, chosen, origin).run()) => {
                ended.unwrap_or_else(|_| {
                    let text = "no target answered in time";
                    AttemptEnd::Failed(Fault::new(ErrorKind::TargetTimeout, text))
                })
            }
        }
    }

    /// Whether a request that may have run can be run by another target.
    pub(super) fn may_run_again(&self) -> bool {
        let Some(proxied) = &self.request.proxied else { return true };
        let time = self.app.now() + LEAST < proxied.deadline;
        time && proxied.route.repeatable() && self.arrivals < proxied.route.attempts
    }

    /// Whether a failed request may go on; takes its resend from the allowance.
    fn may_go_on(&self, fault: &Fault) -> bool {
        let now = self.app.now();
        let Some(proxied) = &self.request.proxied else {
            return self.app.admission().retries.take();
        };
        let in_time = now + LEAST < proxied.deadline;
        let again = !self.begun || self.may_run_again();
        if fault.kind == ErrorKind::TargetTimeout || !in_time || !again {
            return false;
        }
        // What never reached a target is not sent a second time.
        if self.arrivals + self.prefills == 0 {
            return true;
        }
        let instances = self.app.view().live().count() as u32 + 1;
        // A prompt that was prefilled is prefilled again before it runs elsewhere.
        let count = 1 + u32::from(self.prefills > 0);
        self.app.admission().take_resend(&self.request.work.model, instances, count, now)
    }

    fn finish(self) {
        if self.request.proxied.is_some() {
            return self.finish_proxied();
        }
        let (app, request) = (&self.app, &self.request);
        let now = app.now();
        app.quarantine().clear(request.fingerprint);
        let length = Tokens(self.done.len() as u64);
        app.admission().record_output(&request.work.model, length);
        let class = &request.work.class;
        let first = self.first.unwrap_or(now) - request.arrived;
        let steps = self.done.len().saturating_sub(1).max(1) as u32;
        let between = (now - self.first.unwrap_or(now)) / steps;
        app.metrics.record_times(request.class.as_str(), first, between);
        let spent = match () {
            () if first > class.first.duration() => Some("first"),
            () if between > class.between.duration() => Some("between"),
            () if now - request.arrived > class.deadline.duration() => Some("deadline"),
            () => None,
        };
        let service = request.work.model.as_str();
        app.metrics.record_end(service, request.class.as_str(), "whole", spent);
    }

    fn left(self) {
        self.log_early_end("left", "the caller has gone");
        let request = &self.request;
        let service = request.work.model.as_str();
        self.app
            .metrics
            .requests
            .with_label_values(&[service, request.class.as_str(), "left"])
            .inc();
    }

    async fn fail(mut self, mut fault: Fault) {
        self.release_isolated();
        if self.begun && fault.outcome == Outcome::NotRun {
            fault.outcome = Outcome::Unknown;
        }
        // Once the head is gone the caller sees the answer break off, and no status tells why.
        let how = if self.headed { "cut" } else { "given_up" };
        self.log_early_end(how, &fault.to_string());
        let request = &self.request;
        let (service, class) = (request.work.model.as_str(), request.class.as_str());
        let code = fault.kind.answer().code;
        self.app.metrics.record_end(service, class, code, Some(code));
        // The caller may have gone.
        let _ = self.sender.send(Err(fault)).await;
    }
}
