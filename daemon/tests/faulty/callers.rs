use {
    crate::platform::{request, Caller, Message},
    rand::{rngs::StdRng, Rng, SeedableRng},
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        time::Duration,
    },
    tokio::{net::TcpStream, task::JoinSet, time::sleep},
};

/// Callers at once.
const CALLERS: u64 = 8;

/// What kind of route a request took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Safe,
    Once,
    Stream,
    Firm,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::Safe => "/safe/a",
            Self::Once => "/once/a",
            Self::Stream => "/stream/a",
            Self::Firm => "/firm/a",
        }
    }
}

/// One request and what came of it.
#[derive(Debug, Clone)]
pub struct Asked {
    pub id: String,
    pub kind: Kind,
    pub answer: Option<Message>,
}

/// Callers that keep their connections until the process is gone.
pub struct Callers {
    history: Arc<Mutex<Vec<Asked>>>,
    over: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Callers {
    pub fn start(seed: u64, addresses: Vec<SocketAddr>) -> Self {
        let mut callers =
            Self { history: Arc::default(), over: Arc::default(), tasks: JoinSet::new() };
        for i in 0..CALLERS {
            let rng = StdRng::seed_from_u64(seed * 1_000 + i);
            let one = one(i, rng, addresses.clone(), callers.history.clone(), callers.over.clone());
            callers.tasks.spawn(one);
        }
        callers
    }

    /// Number of requests that had ended by now.
    pub fn mark(&self) -> usize {
        self.history.lock().unwrap().len()
    }

    /// Ends the callers; their history.
    pub async fn stop(mut self) -> Vec<Asked> {
        self.over.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
        self.history.lock().unwrap().clone()
    }
}

async fn one(
    number: u64,
    mut rng: StdRng,
    addresses: Vec<SocketAddr>,
    history: Arc<Mutex<Vec<Asked>>>,
    over: Arc<AtomicBool>,
) {
    let mut open: Option<Caller> = None;
    let mut count = 0;
    while !over.load(Ordering::Relaxed) {
        let mut caller = match open.take() {
            Some(caller) => caller,
            None => {
                let at = addresses[rng.gen_range(0..addresses.len())];
                if TcpStream::connect(at).await.is_err() {
                    sleep(Duration::from_millis(50)).await;
                    continue;
                }
                Caller::connect(at).await
            }
        };
        count += 1;
        let id = format!("c{number}n{count}");
        let kind = [Kind::Safe, Kind::Once, Kind::Stream, Kind::Firm][rng.gen_range(0..4)];
        let text = request("POST", kind.path(), &id, "", &id);
        let sent = tokio::io::AsyncWriteExt::write_all(&mut caller.stream, text.as_bytes()).await;
        let answer = if sent.is_ok() { caller.read_response().await } else { None };
        let goes_on = answer
            .as_ref()
            .is_some_and(|a| a.complete && a.header("connection").is_none_or(|c| c != "close"));
        history.lock().unwrap().push(Asked { id, kind, answer });
        if goes_on {
            open = Some(caller);
        }
        sleep(Duration::from_millis(rng.gen_range(2..30))).await;
    }
}
