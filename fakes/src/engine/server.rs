use {
    super::{
        answer_length,
        cache::PrefixCache,
        queue::PrefillQueue,
        runs::{Run, RunOutput, Runs},
        state::{EngineState, OrderEffect},
        token_at, EngineFaults, EngineSetup, POISON,
    },
    crate::{
        kv::InjectedFaults,
        server::{json_response, text_response, BufferedRequest, Handler, LoopbackServer},
    },
    bytes::Bytes,
    futures_util::stream::unfold,
    hyper::{body::Incoming, Method, Request, Response},
    lentil_core::{
        fleet::{count_tokens, prefix_blocks, Load, BLOCK_TOKENS},
        ids::{AdapterId, Incarnation, RunId, Tokens},
        manifest::Role,
        order::EngineReport,
    },
    lentil_node::{
        adapters::FencedReply,
        http::{streamed, Body},
        ports::{Command, Job, LoadReport},
    },
    std::{
        collections::{HashSet, VecDeque},
        io,
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc, Mutex, MutexGuard, PoisonError, Weak,
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::Semaphore,
        time::{sleep, timeout},
    },
};

/// Interval between two samples of the load.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Number of load samples that are kept.
const MAX_LOAD_SAMPLES: usize = 1_000;
/// Factor by which the time between tokens grows while a decode engine prefills as well.
const MIXED_SLOWDOWN: f64 = 1.4;
/// Longest wait of a reader for new output before it polls the run again.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A fake model engine that serves the engine protocol on loopback.
pub struct FakeEngine {
    setup: EngineSetup,
    /// Injected faults.
    pub faults: InjectedFaults<EngineFaults>,
    /// Ids and prompts of all runs that were started, for the assertions of tests.
    pub started_runs: Mutex<Vec<(RunId, String)>>,
    /// Number of prompt tokens found in the prefix cache, and of all prompt tokens.
    pub hit_tokens: (AtomicU64, AtomicU64),
    /// Number of crashes.
    pub crashes: AtomicU64,
    /// Whether the engine has crashed; its port may stay open for [`EngineFaults::crash_linger`].
    crashed: AtomicBool,
    /// State that a crash replaces.
    volatile: Mutex<Arc<VolatileState>>,
    server: Mutex<Option<Arc<LoopbackServer>>>,
    weak_self: Weak<Self>,
}

/// State that is lost in a crash.
struct VolatileState {
    state: Mutex<EngineState>,
    cache: Mutex<PrefixCache>,
    runs: Runs,
    /// Runs whose prefilled KV cache another engine can fetch.
    exports: Mutex<HashSet<RunId>>,
    queue: PrefillQueue,
    slots: Semaphore,
    load_samples: Mutex<VecDeque<(Instant, Load)>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl VolatileState {
    fn new(setup: &EngineSetup, boot: Incarnation) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(EngineState::new(boot, &setup.version)),
            cache: Mutex::default(),
            runs: Runs::default(),
            exports: Mutex::default(),
            queue: PrefillQueue::default(),
            slots: Semaphore::new(setup.slots),
            load_samples: Mutex::default(),
        })
    }

    fn record_load(&self, load: Load) {
        let mut samples = locked(&self.load_samples);
        samples.push_back((Instant::now(), load));
        if samples.len() > MAX_LOAD_SAMPLES {
            samples.pop_front();
        }
    }

    fn load(&self, slots: usize) -> Load {
        let running = (slots - self.slots.available_permits()) as u32;
        let unfinished = self.runs.unfinished() as u32;
        let waiting = unfinished.saturating_sub(running);
        Load { queued: Tokens(self.queue.tokens()), running, waiting }
    }
}

impl FakeEngine {
    /// Starts an engine on a free port.
    pub async fn start(setup: EngineSetup) -> Arc<Self> {
        let engine = Arc::new_cyclic(|weak_self| Self {
            volatile: Mutex::new(VolatileState::new(&setup, Incarnation(1))),
            setup,
            faults: InjectedFaults::default(),
            started_runs: Mutex::default(),
            hit_tokens: Default::default(),
            crashes: AtomicU64::new(0),
            crashed: AtomicBool::new(false),
            server: Mutex::default(),
            weak_self: weak_self.clone(),
        });
        let server = LoopbackServer::start(engine.clone()).await;
        *locked(&engine.server) = Some(server);
        tokio::spawn(sample_load(engine.weak_self.clone()));
        engine
    }

    /// Address on which the engine listens.
    pub fn address(&self) -> std::net::SocketAddr {
        self.server().address
    }

    fn server(&self) -> Arc<LoopbackServer> {
        locked(&self.server).clone().expect("the server has started")
    }

    fn volatile(&self) -> Arc<VolatileState> {
        locked(&self.volatile).clone()
    }

    /// State of the engine as it reports it to the lease holder.
    pub fn report(&self) -> EngineReport {
        locked(&self.volatile().state).report.clone()
    }

    /// Orders that changed the engine since its last start, oldest first.
    pub fn order_effects(&self) -> Vec<OrderEffect> {
        locked(&self.volatile().state).effects.clone()
    }

    /// Number of orders refused for an outdated fencing number since the last start.
    pub fn refused_orders(&self) -> u32 {
        locked(&self.volatile().state).refused
    }

    /// Marks the engine as leaving in its load reports.
    pub fn set_leaving(&self) {
        locked(&self.volatile().state).leaving = true;
    }

    /// Crashes the engine: its runs, caches and connections are lost.
    pub fn crash(&self) {
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.crashed.store(true, Ordering::Relaxed);
        let (server, linger) = (self.server(), self.faults.get().crash_linger);
        match linger.is_zero() {
            true => server.abort(),
            false => {
                let engine = self.weak_self.clone();
                tokio::spawn(async move {
                    sleep(linger).await;
                    // The engine may have been restarted in the meantime.
                    if engine.upgrade().is_some_and(|e| e.crashed.load(Ordering::Relaxed)) {
                        server.abort();
                    }
                });
            }
        }
        self.volatile().runs.cancel_all();
    }

    /// Restarts the engine after a crash, with the next boot number.
    pub async fn restart(&self) {
        let boot = self.report().boot.next();
        *locked(&self.volatile) = VolatileState::new(&self.setup, boot);
        self.crashed.store(false, Ordering::Relaxed);
        if let Some(engine) = self.weak_self.upgrade() {
            self.server().restart(engine).await;
        }
    }

    fn load_report(&self) -> LoadReport {
        let volatile = self.volatile();
        let lag = self.faults.get().report_lag.duration();
        let samples = locked(&volatile.load_samples);
        let sample = samples.iter().rev().find(|(at, _)| at.elapsed() >= lag).or(samples.front());
        let (at, load) =
            sample.copied().unwrap_or((Instant::now(), volatile.load(self.setup.slots)));
        let state = locked(&volatile.state);
        LoadReport {
            load,
            age: lentil_core::ids::Millis(at.elapsed().as_millis() as u64),
            boot: state.report.boot,
            role: state.report.role,
            changing: state.report.changing,
            leaving: state.leaving,
            adapters: state.report.adapters.keys().cloned().collect(),
        }
    }

    /// The response that refuses a job, if the engine can't run it now.
    fn refusal(&self, volatile: &VolatileState, job: &Job) -> Option<Response<Body>> {
        let state = locked(&volatile.state);
        let missing = |a: &AdapterId| !state.report.adapters.contains_key(a);
        match () {
            () if self.faults.get().refuse_runs => Some(text_response(503, "runs are refused")),
            () if state.report.changing => {
                Some(text_response(503, "the engine is changing its role or model"))
            }
            () if job.adapter.as_ref().is_some_and(missing) => {
                Some(text_response(409, "the adapter is not loaded"))
            }
            () => None,
        }
    }

    /// Prefills the part of the prompt and earlier output that is not cached.
    async fn run_prefill(&self, volatile: &VolatileState, job: &Job) {
        let blocks = prefix_blocks(&job.prompt);
        let prompt = count_tokens(&job.prompt) + Tokens(job.done.len() as u64);
        let cached = locked(&volatile.cache).hit_blocks(&blocks) as u64 * BLOCK_TOKENS.0;
        let uncached = prompt.0.saturating_sub(cached);
        self.hit_tokens.0.fetch_add(prompt.0 - uncached, Ordering::Relaxed);
        self.hit_tokens.1.fetch_add(prompt.0, Ordering::Relaxed);
        let work = Duration::from_secs_f64(uncached as f64 / self.setup.prefill_rate);
        volatile.queue.prefill(uncached, job.priority, work).await;
        locked(&volatile.cache).insert(&blocks, self.setup.cache_blocks);
    }

    async fn prefill(&self, job: Job) -> Response<Body> {
        let volatile = self.volatile();
        if let Some(refusal) = self.refusal(&volatile, &job) {
            return refusal;
        }
        if job.prompt.contains(POISON) {
            self.crash();
        }
        self.run_prefill(&volatile, &job).await;
        locked(&volatile.exports).insert(job.run);
        text_response(200, "prefilled")
    }

    async fn start_run(&self, job: Job) -> Response<Body> {
        let volatile = self.volatile();
        if let Some(refusal) = self.refusal(&volatile, &job) {
            return refusal;
        }
        let base = job.done.len() as u64;
        let run = volatile.runs.insert(&job.run, base);
        locked(&self.started_runs).push((job.run.clone(), job.prompt.clone()));
        if let Some(engine) = self.weak_self.upgrade() {
            tokio::spawn(generate(engine, volatile, run.clone(), job.clone()));
        }
        self.stream(job.run, run, base)
    }

    /// Streams a run to a new reader, from the offset `from` on.
    fn resume(&self, id: &str, from: u64) -> Response<Body> {
        let Ok(id) = id.parse::<RunId>() else {
            return text_response(400, "the run id is invalid");
        };
        match self.volatile().runs.get(&id) {
            Some(run) => self.stream(id, run, from),
            None => text_response(404, "unknown run"),
        }
    }

    fn stream(&self, id: RunId, run: Arc<Run>, from: u64) -> Response<Body> {
        let faults = self.faults.get();
        let reader = ChunkReader { id, run, offset: from, sent: 0, duplicated: false, faults };
        Response::new(streamed(unfold(Some(reader), |reader| async move {
            let mut reader = reader?;
            match reader.next().await {
                Ok(Some((line, last))) => Some((Ok(line), (!last).then_some(reader))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        })))
    }

    async fn apply_order(&self, command: Command) -> Response<Body> {
        let volatile = self.volatile();
        let applied = locked(&volatile.state).apply(&command, self.setup.fenced);
        match applied {
            Err(fence) => return json_response(409, &FencedReply { fence }),
            Ok(true) => self.begin_change(&volatile),
            Ok(false) => {}
        }
        sleep(self.faults.get().order_delay).await;
        let report = locked(&volatile.state).report.clone();
        json_response(200, &report)
    }

    /// Starts a change of role or model: ends all runs, and refuses new ones for the change time.
    fn begin_change(&self, volatile: &Arc<VolatileState>) {
        let runs_cut = volatile.runs.cancel_all();
        let mut state = locked(&volatile.state);
        state.report.changing = true;
        if let Some(effect) = state.effects.last_mut() {
            effect.runs_cut = runs_cut;
        }
        let (volatile, change_time) = (volatile.clone(), self.setup.change_time);
        tokio::spawn(async move {
            sleep(change_time).await;
            locked(&volatile.state).report.changing = false;
        });
    }
}

/// Samples the load at a fixed interval, for reports with a lag.
async fn sample_load(engine: Weak<FakeEngine>) {
    while let Some(engine) = engine.upgrade() {
        let volatile = engine.volatile();
        let load = volatile.load(engine.setup.slots);
        volatile.record_load(load);
        drop(engine);
        sleep(LOAD_SAMPLE_INTERVAL).await;
    }
}

/// Generates the tokens of a run, and closes its output.
async fn generate(engine: Arc<FakeEngine>, volatile: Arc<VolatileState>, run: Arc<Run>, job: Job) {
    let imported = match &job.cache {
        Some(source) => import_cache(source).await,
        None => false,
    };
    if !imported {
        engine.run_prefill(&volatile, &job).await;
    }
    let Ok(_slot) = volatile.slots.acquire().await else { return };
    let adapter = job.adapter.as_ref().map_or("", |a| a.as_str());
    let (length, reason) = answer_length(&job.prompt, job.max);
    for offset in job.done.len() as u64..length {
        let mixed = volatile.queue.tokens() > 0 && engine.report().role == Role::Decode;
        sleep(engine.setup.token_interval.mul_f64(if mixed { MIXED_SLOWDOWN } else { 1.0 })).await;
        if job.prompt.contains(POISON) {
            return engine.crash();
        }
        if run.output.borrow().closed || run.is_abandoned() {
            break;
        }
        let text = token_at(&job.prompt, adapter, offset);
        run.output.send_modify(|o| o.tokens.push(text));
    }
    let is_complete = |o: &RunOutput| o.base + o.tokens.len() as u64 == length;
    run.output.send_modify(|o| {
        o.end = (is_complete(o) && !o.closed).then_some(reason);
        o.closed = true;
    });
}

/// Fetches the KV cache from the engine that prefilled the prompt; `false` if that fails.
async fn import_cache(source: &lentil_node::ports::CacheSource) -> bool {
    let path = format!("/v1/exports/{}", source.run);
    let request = lentil_node::http::request(Method::GET, source.address, &path, "");
    let limit = Duration::from_secs(5);
    let response = lentil_node::http::call(source.address, request, limit).await;
    response.is_ok_and(|r| r.status == 200)
}

/// A reader that streams the output of a run as chunks, with the injected faults.
struct ChunkReader {
    id: RunId,
    run: Arc<Run>,
    offset: u64,
    /// Number of chunks sent to this reader.
    sent: u64,
    /// Whether the last chunk is to be sent a second time.
    duplicated: bool,
    faults: EngineFaults,
}

impl ChunkReader {
    /// Returns the next chunk as a line of JSON, and whether it is the last one.
    async fn next(&mut self) -> io::Result<Option<(Bytes, bool)>> {
        let mut outputs = self.run.output.subscribe();
        loop {
            self.run.mark_read();
            let (chunk, closed) = {
                let output = outputs.borrow_and_update();
                (output.chunk(&self.id, self.offset), output.closed)
            };
            if let Some(mut chunk) = chunk {
                self.sent += 1;
                if self.faults.close_after > 0 && self.sent > self.faults.close_after {
                    return Err(io::Error::other("the stream is closed by an injected fault"));
                }
                let is_nth = |n: u64, sent: u64| n > 0 && sent.is_multiple_of(n);
                if is_nth(self.faults.misattribute_every, self.sent) {
                    chunk.run = "another-run".parse().map_err(io::Error::other)?;
                }
                let last = chunk.end.is_some();
                self.duplicated =
                    is_nth(self.faults.duplicate_every, self.sent) && !self.duplicated;
                if !self.duplicated {
                    self.offset += 1;
                }
                let mut line = serde_json::to_vec(&chunk)?;
                line.push(b'\n');
                return Ok(Some((line.into(), last)));
            }
            if closed {
                return Err(io::Error::other("the run was stopped"));
            }
            let _ = timeout(READ_POLL_INTERVAL, outputs.changed()).await;
        }
    }
}

impl Handler for FakeEngine {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let request = BufferedRequest::read(request).await;
        if self.crashed.load(Ordering::Relaxed) {
            return std::future::pending().await;
        }
        let path: Vec<&str> = request.path.trim_start_matches("/v1/").split('/').collect();
        let faults = self.faults.get();
        match (&request.method, path.as_slice()) {
            (&Method::POST, ["runs"]) => match request.json() {
                Some(job) => self.start_run(job).await,
                None => text_response(400, "the body is not a job"),
            },
            (&Method::POST, ["prefills"]) => match request.json() {
                Some(job) => self.prefill(job).await,
                None => text_response(400, "the body is not a job"),
            },
            (&Method::GET, ["runs", id]) => self.resume(id, request.query_number("from")),
            (&Method::DELETE, ["runs", id]) => {
                if let Ok(id) = id.parse() {
                    self.volatile().runs.cancel(&id);
                }
                text_response(200, "cancelled")
            }
            (&Method::GET, ["exports", id]) => {
                let volatile = self.volatile();
                let known = id.parse().is_ok_and(|id| {
                    locked(&volatile.exports).contains(&id) || volatile.runs.get(&id).is_some()
                });
                text_response(if known { 200 } else { 404 }, "")
            }
            (&Method::GET, ["load"]) => json_response(200, &self.load_report()),
            (&Method::GET, ["state"]) => json_response(200, &self.report()),
            (&Method::GET, ["cache"]) => {
                let volatile = self.volatile();
                let from = request.query_number("from");
                let events =
                    locked(&volatile.cache).events(from, faults.cache_lag, faults.cache_gap);
                json_response(200, &events)
            }
            (&Method::POST, ["orders"]) => match request.json() {
                Some(command) => self.apply_order(command).await,
                None => text_response(400, "the body is not a command"),
            },
            _ => text_response(404, "unknown path"),
        }
    }
}
