use {
    crate::platform::{
        event, request, split_software, Caller, Message, POISON, STREAM_EVENTS, TAINTED_PART,
    },
    rand::{rngs::StdRng, Rng, SeedableRng},
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Number of concurrent callers.
const CALLERS: u64 = 24;

/// Type of the route that a request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    Idempotent,
    NonIdempotent,
    ResumableStream,
    NonResumableStream,
    /// A resumable stream of which the caller has the events up to this number.
    ResumedStream(u64),
}

impl RouteKind {
    fn path(self) -> &'static str {
        match self {
            Self::Idempotent => "/safe/a",
            Self::NonIdempotent => "/once/a",
            Self::ResumableStream | Self::ResumedStream(_) => "/stream/a",
            Self::NonResumableStream => "/firm/a",
        }
    }
}

/// A request and its response, if any.
#[derive(Debug, Clone)]
pub struct Exchange {
    pub id: String,
    /// Address of the instance that got the request.
    pub instance: SocketAddr,
    pub kind: RouteKind,
    /// Id of the request that brought the first event of the stream that this one resumes.
    pub resumes: Option<String>,
    pub response: Option<Message>,
}

/// Concurrent callers that send requests of random route types over persistent connections.
pub struct Callers {
    history: Arc<Mutex<Vec<Exchange>>>,
    stopping: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Callers {
    pub fn start(seed: u64, addresses: Vec<SocketAddr>) -> Self {
        let mut callers =
            Self { history: Arc::default(), stopping: Arc::default(), tasks: JoinSet::new() };
        for i in 0..CALLERS {
            let rng = StdRng::seed_from_u64(seed * 1_000 + i);
            let history = callers.history.clone();
            let task = run_caller(i, rng, addresses.clone(), history, callers.stopping.clone());
            callers.tasks.spawn(task);
        }
        for (i, kind) in (0..).zip([Harm::Request, Harm::Part]) {
            let rng = StdRng::seed_from_u64(seed * 1_000 + CALLERS + i);
            let stopping = callers.stopping.clone();
            callers.tasks.spawn(send_harmful(kind, rng, addresses.clone(), stopping));
        }
        callers
    }

    /// Number of requests that have ended so far, an index into the history.
    pub fn completed(&self) -> usize {
        self.history.lock().unwrap().len()
    }

    /// Stops the callers; returns all requests in the order in which they ended.
    pub async fn stop(mut self) -> Vec<Exchange> {
        self.stopping.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
        self.history.lock().unwrap().clone()
    }
}

/// Sends requests one after another until `stopping` is set; each outcome goes to `history`.
async fn run_caller(
    number: u64,
    mut rng: StdRng,
    addresses: Vec<SocketAddr>,
    history: Arc<Mutex<Vec<Exchange>>>,
    stopping: Arc<AtomicBool>,
) {
    let mut connection: Option<(SocketAddr, Caller)> = None;
    let mut cut_stream: Option<(String, u64)> = None;
    let mut count = 0;
    while !stopping.load(Ordering::Relaxed) {
        let (instance, mut caller) = match connection.take() {
            Some(open) => open,
            None => {
                let address = addresses[rng.gen_range(0..addresses.len())];
                if TcpStream::connect(address).await.is_err() {
                    sleep(Duration::from_millis(50)).await;
                    continue;
                }
                (address, Caller::connect(address).await)
            }
        };
        count += 1;
        let id = format!("c{number}n{count}");
        let kind = [
            RouteKind::Idempotent,
            RouteKind::NonIdempotent,
            RouteKind::ResumableStream,
            RouteKind::NonResumableStream,
        ][rng.gen_range(0..4)];
        let (kind, resumes) = match cut_stream.take() {
            Some((stream, after)) => (RouteKind::ResumedStream(after), Some(stream)),
            None => (kind, None),
        };
        let headers = match (kind, &resumes) {
            (RouteKind::ResumedStream(after), Some(stream)) => {
                format!("Resumes: {stream}\r\nLast-Event-Id: {after}\r\n")
            }
            _ => String::new(),
        };
        let text = request("POST", kind.path(), &id, &headers, &id);
        let sent = caller.stream.write_all(text.as_bytes()).await;
        let response = if sent.is_ok() { caller.read_response().await } else { None };
        let reusable = response
            .as_ref()
            .is_some_and(|r| r.complete && r.header("connection").is_none_or(|c| c != "close"));
        cut_stream = received_part(&id, kind, resumes.as_deref(), response.as_ref());
        history.lock().unwrap().push(Exchange { id, instance, kind, resumes, response });
        if reusable {
            connection = Some((instance, caller));
        }
        sleep(Duration::from_millis(rng.gen_range(2..30))).await;
    }
}

/// What crashes the targets that run it.
#[derive(Clone, Copy)]
enum Harm {
    /// A request that is the same each time.
    Request,
    /// A part of the prompts of requests that are all different.
    Part,
}

impl Harm {
    fn request(self, count: u64) -> String {
        match self {
            Self::Request => request("POST", "/safe/a", &format!("poison{count}"), "", POISON),
            Self::Part => {
                let parts = format!("Prompt-Prefix: a:100,{TAINTED_PART}:100,f{count:x}:10\r\n");
                let path = format!("/firm/{count}");
                request("POST", &path, &format!("tainted{count}"), &parts, TAINTED_PART)
            }
        }
    }
}

/// Sends harmful requests to random instances until `stopping` is set.
async fn send_harmful(
    kind: Harm,
    mut rng: StdRng,
    addresses: Vec<SocketAddr>,
    stopping: Arc<AtomicBool>,
) {
    for count in 0_u64.. {
        if stopping.load(Ordering::Relaxed) {
            return;
        }
        let address = addresses[rng.gen_range(0..addresses.len())];
        if let Ok(stream) = TcpStream::connect(address).await {
            let text = kind.request(count);
            let mut caller = Caller::from(stream);
            if caller.stream.write_all(text.as_bytes()).await.is_ok() {
                // The caller does not wait for the answer of a paused instance.
                let _ = timeout(Duration::from_secs(1), caller.read_response()).await;
            }
        }
        sleep(Duration::from_millis(rng.gen_range(50..500))).await;
    }
}

/// Returns the id with which a caller resumes a stream that was cut, and the last event that it has.
fn received_part(
    id: &str,
    kind: RouteKind,
    resumes: Option<&str>,
    response: Option<&Message>,
) -> Option<(String, u64)> {
    let had = match kind {
        RouteKind::ResumableStream => 0,
        RouteKind::ResumedStream(after) => after,
        _ => return None,
    };
    let cut = response.filter(|r| !r.complete && r.status() == 200)?;
    let text = split_software(&cut.text()).0;
    let last = (1..=STREAM_EVENTS).rev().find(|n| text.contains(&event(*n))).unwrap_or(had);
    (last > 0).then(|| (resumes.unwrap_or(id).to_owned(), last))
}
