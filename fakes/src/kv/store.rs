use {
    super::{Faults, KvFaults},
    crate::server::{json, text, Asked, Handler, Host},
    hyper::{body::Incoming, Method, Request, Response},
    lentil_core::ids::{LeaseId, Revision},
    lentil_node::{
        adapters::{GrantBody, GrantReply, SwapBody, SwapReply},
        http::Body,
        ports::StoreEntry,
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc, Mutex, MutexGuard, PoisonError,
        },
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::sleep},
};

/// Largest value, in bytes.
const MAX_VALUE: usize = 1 << 20;

#[derive(Debug, Clone)]
struct Value {
    text: String,
    revision: Revision,
    lease: Option<LeaseId>,
}

#[derive(Debug, Default)]
struct Table {
    values: BTreeMap<String, Value>,
    leases: HashMap<LeaseId, (Instant, Duration)>,
    revision: Revision,
    writes: u64,
    second: Option<(Instant, u32)>,
}

/// Calls that were counted.
#[derive(Debug, Default)]
pub struct KvCalls {
    /// Reads, and watches, each of which counts as one.
    pub reads: AtomicU64,
    /// Writes, and calls about leases.
    pub writes: AtomicU64,
}

/// Key-value service with compare-and-swap, leases and watches.
#[derive(Default)]
pub struct FakeKv {
    table: Mutex<Table>,
    changed: Notify,
    /// What goes wrong.
    pub faults: Faults<KvFaults>,
    /// Calls so far.
    pub calls: KvCalls,
}

impl FakeKv {
    /// Starts the service on a free port.
    pub async fn start() -> (Arc<Self>, Arc<Host>) {
        let kv = Arc::new(Self::default());
        let host = Host::start(kv.clone()).await;
        (kv, host)
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.expire(Instant::now());
        table
    }

    /// A value, as tests look at it.
    pub fn value(&self, key: &str) -> Option<String> {
        self.table().values.get(key).map(|v| v.text.clone())
    }

    /// Revision of a key; zero if it does not exist.
    pub fn revision_of(&self, key: &str) -> Revision {
        self.table().values.get(key).map_or(Revision(0), |v| v.revision)
    }

    async fn watch(&self, key: &str, asked: &Asked) -> Response<Body> {
        let (after, wait) = (Revision(asked.number("after")), asked.number("wait"));
        let end = Instant::now() + Duration::from_millis(wait);
        loop {
            let changed = self.changed.notified();
            let found = self.table().entry(key).filter(|e| e.revision > after);
            let left = end.saturating_duration_since(Instant::now());
            match found {
                Some(entry) => return json(200, &entry),
                None if left.is_zero() || self.faults.get().down => return text(404, "unchanged"),
                // Looks again at times, since an outage ends a watch.
                None => tokio::select! {
                    () = changed => {}
                    () = sleep(left.min(Duration::from_millis(200))) => {}
                },
            }
        }
    }

    fn swap(&self, key: &str, body: SwapBody) -> Response<Body> {
        if body.value.len() > MAX_VALUE {
            return text(413, "value is too large");
        }
        let mut table = self.table();
        if body.lease.is_some_and(|id| !table.leases.contains_key(&id)) {
            return text(410, "lease is gone");
        }
        let at = table.values.get(key).map_or(Revision(0), |v| v.revision);
        if at != body.base {
            return json(409, &SwapReply { revision: at });
        }
        table.revision = table.revision.next();
        let revision = table.revision;
        let value = Value { text: body.value, revision, lease: body.lease };
        table.values.insert(key.to_owned(), value);
        drop(table);
        self.changed.notify_waiters();
        json(200, &SwapReply { revision })
    }

    fn remove(&self, key: &str, base: Revision) -> Response<Body> {
        let mut table = self.table();
        let at = table.values.get(key).map_or(Revision(0), |v| v.revision);
        if at != base {
            return json(409, &SwapReply { revision: at });
        }
        table.values.remove(key);
        table.revision = table.revision.next();
        text(200, "removed")
    }

    fn lease(&self, method: &Method, id: &str, asked: &Asked) -> Response<Body> {
        let mut table = self.table();
        if method == Method::POST {
            let Some(body) = asked.json::<GrantBody>() else { return text(400, "no length") };
            table.writes += 1;
            let lease = LeaseId(table.writes);
            table.leases.insert(lease, (Instant::now() + body.ttl.duration(), body.ttl.duration()));
            return json(200, &GrantReply { lease });
        }
        let id = LeaseId(id.parse().unwrap_or(0));
        let Some((end, ttl)) = table.leases.get_mut(&id) else {
            return text(410, "lease is gone");
        };
        match *method {
            Method::PUT => *end = Instant::now() + *ttl,
            _ => *end = Instant::now(),
        }
        text(200, "done")
    }

    /// Whether the answer to a write is to be lost.
    fn loses(&self) -> bool {
        let writes = {
            let mut table = self.table();
            table.writes += 1;
            table.writes
        };
        self.faults.set(|f| {
            let listed = f.lose > 0;
            f.lose = f.lose.saturating_sub(1);
            listed || (f.lose_every > 0 && writes.is_multiple_of(f.lose_every))
        })
    }

    /// Whether the rate allows one more call.
    fn within_rate(&self, rate: u32) -> bool {
        let now = Instant::now();
        let mut table = self.table();
        let second = table.second.filter(|(t, _)| now - *t < Duration::from_secs(1));
        let (start, used) = second.unwrap_or((now, 0));
        table.second = Some((start, used + 1));
        rate == 0 || used < rate
    }
}

impl Table {
    fn expire(&mut self, now: Instant) {
        let leases = &mut self.leases;
        leases.retain(|_, (end, _)| *end > now);
        let live = |v: &Value| v.lease.is_none_or(|id| leases.contains_key(&id));
        self.values.retain(|_, v| live(v));
    }

    fn entry(&self, key: &str) -> Option<StoreEntry> {
        let value = self.values.get(key)?;
        let (key, revision) = (key.to_owned(), value.revision);
        Some(StoreEntry { key, value: value.text.clone(), revision })
    }
}

impl Handler for FakeKv {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let asked = Asked::read(request).await;
        let faults = self.faults.get();
        let write = asked.method != Method::GET;
        let counter = if write { &self.calls.writes } else { &self.calls.reads };
        counter.fetch_add(1, Ordering::Relaxed);
        if faults.down {
            return text(503, "down");
        }
        if !self.within_rate(faults.rate) {
            return text(429, "rate is used up");
        }
        sleep(faults.slow).await;
        let mut parts = asked.path.trim_start_matches('/').splitn(2, '/');
        let (area, key) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        let answer = match (area, &asked.method) {
            ("kv", &Method::GET) => match self.table().entry(key) {
                Some(entry) => json(200, &entry),
                None => text(404, "no such key"),
            },
            ("kv", &Method::PUT) => match asked.json() {
                Some(body) => self.swap(key, body),
                None => text(400, "no value"),
            },
            ("kv", &Method::DELETE) => self.remove(key, Revision(asked.number("base"))),
            ("watch", _) => self.watch(key, &asked).await,
            ("leases", method) => self.lease(method, key, &asked),
            _ => text(404, "no such path"),
        };
        if area == "kv" && write && self.loses() {
            return Response::new(broken_body());
        }
        answer
    }
}

/// A body that breaks off, so that the connection closes without a whole answer.
pub(crate) fn broken_body() -> Body {
    use futures_util::{stream, StreamExt};
    let broken = std::io::Error::other("answer is lost");
    lentil_node::http::streamed(stream::once(async move { Err(broken) }).boxed())
}
