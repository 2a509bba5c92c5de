use {
    super::{
        cache::Cache,
        length,
        orders::{Effect, Post},
        prefill::PrefillQueue,
        runs::{Run, Runs},
        token, EngineFaults, EngineSetup, POISON,
    },
    crate::{
        kv::Faults,
        server::{json, text, Asked, Handler, Host},
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

pub use super::orders::Effect as OrderEffect;

/// Time between two looks at the load that reports are made of.
const LOOK: Duration = Duration::from_millis(20);
/// Looks that are kept.
const MAX_LOADS: usize = 1_000;
/// Factor of the time between tokens while prefill is mixed in.
const MIXED: f64 = 1.4;
/// Longest hold of a stream without a token, after which the run is looked at again.
const WAIT: Duration = Duration::from_millis(200);

/// A model engine.
pub struct FakeEngine {
    setup: EngineSetup,
    /// What goes wrong.
    pub faults: Faults<EngineFaults>,
    /// Runs begun, by what they were asked, as tests look at them.
    pub begun: Mutex<Vec<(RunId, String)>>,
    /// Tokens of prompts found in the cache, and all tokens of prompts.
    pub hits: (AtomicU64, AtomicU64),
    /// Times that it crashed.
    pub crashes: AtomicU64,
    /// Whether it has crashed: the port closes a moment later.
    dead: AtomicBool,
    life: Mutex<Arc<Life>>,
    host: Mutex<Option<Arc<Host>>>,
    me: Weak<Self>,
}

/// What a crash takes away.
struct Life {
    post: Mutex<Post>,
    cache: Mutex<Cache>,
    runs: Runs,
    exports: Mutex<HashSet<RunId>>,
    queue: PrefillQueue,
    slots: Semaphore,
    loads: Mutex<VecDeque<(Instant, Load)>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Life {
    fn new(setup: &EngineSetup, boot: Incarnation) -> Arc<Self> {
        Arc::new(Self {
            post: Mutex::new(Post::new(boot, &setup.version)),
            cache: Mutex::default(),
            runs: Runs::default(),
            exports: Mutex::default(),
            queue: PrefillQueue::default(),
            slots: Semaphore::new(setup.slots),
            loads: Mutex::default(),
        })
    }

    fn note(&self, load: Load) {
        let mut loads = locked(&self.loads);
        loads.push_back((Instant::now(), load));
        if loads.len() > MAX_LOADS {
            loads.pop_front();
        }
    }

    fn load(&self, slots: usize) -> Load {
        let running = (slots - self.slots.available_permits()) as u32;
        let live = self.runs.live() as u32;
        let waiting = live.saturating_sub(running);
        Load { queued: Tokens(self.queue.tokens()), running, waiting }
    }
}

impl FakeEngine {
    /// Starts an engine on a free port.
    pub async fn start(setup: EngineSetup) -> Arc<Self> {
        let engine = Arc::new_cyclic(|me| Self {
            life: Mutex::new(Life::new(&setup, Incarnation(1))),
            setup,
            faults: Faults::default(),
            begun: Mutex::default(),
            hits: Default::default(),
            crashes: AtomicU64::new(0),
            dead: AtomicBool::new(false),
            host: Mutex::default(),
            me: me.clone(),
        });
        let host = Host::start(engine.clone()).await;
        *locked(&engine.host) = Some(host);
        tokio::spawn(look(engine.me.clone()));
        engine
    }

    /// Where it listens.
    pub fn address(&self) -> std::net::SocketAddr {
        self.host().address
    }

    fn host(&self) -> Arc<Host> {
        locked(&self.host).clone().expect("an engine has started")
    }

    fn life(&self) -> Arc<Life> {
        locked(&self.life).clone()
    }

    /// What it is now.
    pub fn report(&self) -> EngineReport {
        locked(&self.life().post).report.clone()
    }

    /// Orders that had an effect since its start, oldest first.
    pub fn effects(&self) -> Vec<Effect> {
        locked(&self.life().post).effects.clone()
    }

    /// Orders refused for their fencing numbers since its start.
    pub fn refused(&self) -> u32 {
        locked(&self.life().post).refused
    }

    /// Says that it will go.
    pub fn leave(&self) {
        locked(&self.life().post).leaving = true;
    }

    /// Stops at once, with all that it held.
    pub fn crash(&self) {
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.dead.store(true, Ordering::Relaxed);
        let (host, dying) = (self.host(), self.faults.get().dying);
        match dying.is_zero() {
            true => host.cut(),
            false => {
                let me = self.me.clone();
                tokio::spawn(async move {
                    sleep(dying).await;
                    // Not the one that has come back meanwhile.
                    if me.upgrade().is_some_and(|e| e.dead.load(Ordering::Relaxed)) {
                        host.cut();
                    }
                });
            }
        }
        self.life().runs.cancel_all();
    }

    /// Comes back after a crash, as a new incarnation.
    pub async fn restart(&self) {
        let boot = self.report().boot.next();
        *locked(&self.life) = Life::new(&self.setup, boot);
        self.dead.store(false, Ordering::Relaxed);
        if let Some(me) = self.me.upgrade() {
            self.host().put_back(me).await;
        }
    }

    fn load_report(&self) -> LoadReport {
        let life = self.life();
        let lag = self.faults.get().lag.duration();
        let loads = locked(&life.loads);
        let old = loads.iter().rev().find(|(at, _)| at.elapsed() >= lag).or(loads.front());
        let (at, load) = old.copied().unwrap_or((Instant::now(), life.load(self.setup.slots)));
        let post = locked(&life.post);
        LoadReport {
            load,
            age: lentil_core::ids::Millis(at.elapsed().as_millis() as u64),
            boot: post.report.boot,
            role: post.report.role,
            changing: post.report.changing,
            leaving: post.leaving,
            adapters: post.report.adapters.keys().cloned().collect(),
        }
    }

    fn refusal(&self, life: &Life, job: &Job) -> Option<Response<Body>> {
        let post = locked(&life.post);
        let missing = |a: &AdapterId| !post.report.adapters.contains_key(a);
        match () {
            () if self.faults.get().refuse => Some(text(503, "refused")),
            () if post.report.changing => Some(text(503, "changing")),
            () if job.adapter.as_ref().is_some_and(missing) => Some(text(409, "no adapter")),
            () => None,
        }
    }

    /// Prefills what the cache does not hold.
    async fn fill(&self, life: &Life, job: &Job) {
        let blocks = prefix_blocks(&job.prompt);
        let prompt = count_tokens(&job.prompt) + Tokens(job.done.len() as u64);
        let held = locked(&life.cache).hit(&blocks) as u64 * BLOCK_TOKENS.0;
        let todo = prompt.0.saturating_sub(held);
        self.hits.0.fetch_add(prompt.0 - todo, Ordering::Relaxed);
        self.hits.1.fetch_add(prompt.0, Ordering::Relaxed);
        let work = Duration::from_secs_f64(todo as f64 / self.setup.prefill);
        life.queue.run(todo, job.priority, work).await;
        locked(&life.cache).store(&blocks, self.setup.blocks);
    }

    async fn prefill(&self, job: Job) -> Response<Body> {
        let life = self.life();
        if let Some(refusal) = self.refusal(&life, &job) {
            return refusal;
        }
        if job.prompt.contains(POISON) {
            self.crash();
        }
        self.fill(&life, &job).await;
        locked(&life.exports).insert(job.run);
        text(200, "prefilled")
    }

    async fn begin(&self, job: Job) -> Response<Body> {
        let life = self.life();
        if let Some(refusal) = self.refusal(&life, &job) {
            return refusal;
        }
        let base = job.done.len() as u64;
        let run = life.runs.begin(&job.run, base);
        locked(&self.begun).push((job.run.clone(), job.prompt.clone()));
        if let Some(me) = self.me.upgrade() {
            tokio::spawn(make(me, life, run.clone(), job.clone()));
        }
        self.stream(job.run, run, base)
    }

    fn resume(&self, id: &str, from: u64) -> Response<Body> {
        let Ok(id) = id.parse::<RunId>() else { return text(400, "no run") };
        match self.life().runs.get(&id) {
            Some(run) => self.stream(id, run, from),
            None => text(404, "no such run"),
        }
    }

    fn stream(&self, id: RunId, run: Arc<Run>, from: u64) -> Response<Body> {
        let faults = self.faults.get();
        let reader = Reader { id, run, offset: from, sent: 0, repeated: false, faults };
        Response::new(streamed(unfold(Some(reader), |reader| async move {
            let mut reader = reader?;
            match reader.next().await {
                Ok(Some((line, ended))) => Some((Ok(line), (!ended).then_some(reader))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        })))
    }

    async fn order(&self, command: Command) -> Response<Body> {
        let life = self.life();
        let taken = locked(&life.post).take(&command, self.setup.fenced);
        match taken {
            Err(fence) => return json(409, &FencedReply { fence }),
            Ok(true) => self.go_away(&life),
            Ok(false) => {}
        }
        sleep(self.faults.get().slow_orders).await;
        let report = locked(&life.post).report.clone();
        json(200, &report)
    }

    /// A change cuts what still runs, and takes the engine away for a while.
    fn go_away(&self, life: &Arc<Life>) {
        let cut = life.runs.cancel_all();
        let mut post = locked(&life.post);
        post.report.changing = true;
        if let Some(effect) = post.effects.last_mut() {
            effect.cut = cut;
        }
        let (life, change) = (life.clone(), self.setup.change);
        tokio::spawn(async move {
            sleep(change).await;
            locked(&life.post).report.changing = false;
        });
    }
}

/// Notes the load at times, for reports that lag.
async fn look(engine: Weak<FakeEngine>) {
    while let Some(engine) = engine.upgrade() {
        let life = engine.life();
        let load = life.load(engine.setup.slots);
        life.note(load);
        drop(engine);
        sleep(LOOK).await;
    }
}

/// Makes the tokens of a run.
async fn make(engine: Arc<FakeEngine>, life: Arc<Life>, run: Arc<Run>, job: Job) {
    let imported = match &job.cache {
        Some(source) => import(source).await,
        None => false,
    };
    if !imported {
        engine.fill(&life, &job).await;
    }
    let Ok(_slot) = life.slots.acquire().await else { return };
    let adapter = job.adapter.as_ref().map_or("", |a| a.as_str());
    let (length, reason) = length(&job.prompt, job.max);
    for offset in job.done.len() as u64..length {
        let mixed = life.queue.tokens() > 0 && engine.report().role == Role::Decode;
        sleep(engine.setup.step.mul_f64(if mixed { MIXED } else { 1.0 })).await;
        if job.prompt.contains(POISON) {
            return engine.crash();
        }
        if run.answer.borrow().ended || run.abandoned() {
            break;
        }
        let text = token(&job.prompt, adapter, offset);
        run.answer.send_modify(|a| a.tokens.push(text));
    }
    let whole = |a: &super::runs::Answer| a.base + a.tokens.len() as u64 == length;
    run.answer.send_modify(|a| {
        a.end = (whole(a) && !a.ended).then_some(reason);
        a.ended = true;
    });
}

/// Fetches a KV cache from the engine that prefilled.
async fn import(source: &lentil_node::ports::CacheSource) -> bool {
    let path = format!("/v1/exports/{}", source.run);
    let request = lentil_node::http::request(Method::GET, source.address, &path, "");
    let limit = Duration::from_secs(5);
    let answer = lentil_node::http::call(source.address, request, limit).await;
    answer.is_ok_and(|a| a.status == 200)
}

/// One reader of a run's answer.
struct Reader {
    id: RunId,
    run: Arc<Run>,
    offset: u64,
    sent: u64,
    repeated: bool,
    faults: EngineFaults,
}

impl Reader {
    async fn next(&mut self) -> io::Result<Option<(Bytes, bool)>> {
        let mut answers = self.run.answer.subscribe();
        loop {
            self.run.touch();
            let (found, ended) = {
                let answer = answers.borrow_and_update();
                (answer.chunk(&self.id, self.offset), answer.ended)
            };
            if let Some(mut chunk) = found {
                self.sent += 1;
                if self.faults.cut > 0 && self.sent > self.faults.cut {
                    return Err(io::Error::other("stream is cut"));
                }
                let is_nth = |n: u64, sent: u64| n > 0 && sent.is_multiple_of(n);
                if is_nth(self.faults.cross, self.sent) {
                    chunk.run = "another-run".parse().map_err(io::Error::other)?;
                }
                let last = chunk.end.is_some();
                self.repeated = is_nth(self.faults.repeat, self.sent) && !self.repeated;
                if !self.repeated {
                    self.offset += 1;
                }
                let mut line = serde_json::to_vec(&chunk)?;
                line.push(b'\n');
                return Ok(Some((line.into(), last)));
            }
            if ended {
                return Err(io::Error::other("run was ended"));
            }
            let _ = timeout(WAIT, answers.changed()).await;
        }
    }
}

impl Handler for FakeEngine {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let asked = Asked::read(request).await;
        if self.dead.load(Ordering::Relaxed) {
            return std::future::pending().await;
        }
        let path: Vec<&str> = asked.path.trim_start_matches("/v1/").split('/').collect();
        let faults = self.faults.get();
        match (&asked.method, path.as_slice()) {
            (&Method::POST, ["runs"]) => match asked.json() {
                Some(job) => self.begin(job).await,
                None => text(400, "no job"),
            },
            (&Method::POST, ["prefills"]) => match asked.json() {
                Some(job) => self.prefill(job).await,
                None => text(400, "no job"),
            },
            (&Method::GET, ["runs", id]) => self.resume(id, asked.number("from")),
            (&Method::DELETE, ["runs", id]) => {
                if let Ok(id) = id.parse() {
                    self.life().runs.cancel(&id);
                }
                text(200, "cancelled")
            }
            (&Method::GET, ["exports", id]) => {
                let life = self.life();
                let known = id.parse().is_ok_and(|id| {
                    locked(&life.exports).contains(&id) || life.runs.get(&id).is_some()
                });
                text(if known { 200 } else { 404 }, "")
            }
            (&Method::GET, ["load"]) => json(200, &self.load_report()),
            (&Method::GET, ["state"]) => json(200, &self.report()),
            (&Method::GET, ["cache"]) => {
                let life = self.life();
                let from = asked.number("from");
                let events = locked(&life.cache).events(from, faults.cache_lag, faults.cache_gap);
                json(200, &events)
            }
            (&Method::POST, ["orders"]) => match asked.json() {
                Some(command) => self.order(command).await,
                None => text(400, "no order"),
            },
            _ => text(404, "no such path"),
        }
    }
}
