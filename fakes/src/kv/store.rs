use {
    super::{InjectedFaults, KvFaults},
    crate::server::{json_response, text_response, BufferedRequest, Handler, LoopbackServer},
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

/// Size limit of a value.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// A stored value, with the revision of its last write.
#[derive(Debug, Clone)]
struct Value {
    text: String,
    revision: Revision,
    lease: Option<LeaseId>,
}

/// The stored values and their leases.
#[derive(Debug, Default)]
struct Table {
    values: BTreeMap<String, Value>,
    /// Expiry and duration of each lease.
    leases: HashMap<LeaseId, (Instant, Duration)>,
    /// Revision of the last change to any key.
    revision: Revision,
    writes: u64,
    /// Start of the current second and the number of calls in it, for the rate limit.
    rate_window: Option<(Instant, u32)>,
}

/// Number of calls that the service has received.
#[derive(Debug, Default)]
pub struct KvCalls {
    /// Reads and watches; a watch counts as one call.
    pub reads: AtomicU64,
    /// Writes and lease calls.
    pub writes: AtomicU64,
}

/// Fake key-value service with compare-and-swap, leases and watches.
#[derive(Default)]
pub struct FakeKv {
    table: Mutex<Table>,
    changed: Notify,
    /// Injected faults.
    pub faults: InjectedFaults<KvFaults>,
    /// Number of calls so far.
    pub calls: KvCalls,
}

impl FakeKv {
    /// Starts the service on a free port.
    pub async fn start() -> (Arc<Self>, Arc<LoopbackServer>) {
        let kv = Arc::new(Self::default());
        let server = LoopbackServer::start(kv.clone()).await;
        (kv, server)
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.expire(Instant::now());
        table
    }

    /// The current value of a key.
    pub fn value(&self, key: &str) -> Option<String> {
        self.table().values.get(key).map(|v| v.text.clone())
    }

    /// Revision of a key's last write; zero if the key does not exist.
    pub fn revision_of(&self, key: &str) -> Revision {
        self.table().values.get(key).map_or(Revision(0), |v| v.revision)
    }

    async fn watch(&self, key: &str, request: &BufferedRequest) -> Response<Body> {
        let (after, wait) = (Revision(request.query_number("after")), request.query_number("wait"));
        let end = Instant::now() + Duration::from_millis(wait);
        loop {
            let changed = self.changed.notified();
            let entry = self.table().entry(key).filter(|e| e.revision > after);
            let left = end.saturating_duration_since(Instant::now());
            match entry {
                Some(entry) => return json_response(200, &entry),
                None if left.is_zero() || self.faults.get().down => {
                    return text_response(404, "the key has not changed")
                }
                // Polls as well, since an injected outage must end the watch.
                None => tokio::select! {
                    () = changed => {}
                    () = sleep(left.min(Duration::from_millis(200))) => {}
                },
            }
        }
    }

    fn swap(&self, key: &str, body: SwapBody) -> Response<Body> {
        if body.value.len() > MAX_VALUE_BYTES {
            return text_response(413, "the value is too large");
        }
        let mut table = self.table();
        if body.lease.is_some_and(|id| !table.leases.contains_key(&id)) {
            return text_response(410, "the lease has expired");
        }
        let current = table.values.get(key).map_or(Revision(0), |v| v.revision);
        if current != body.base {
            return json_response(409, &SwapReply { revision: current });
        }
        table.revision = table.revision.next();
        let revision = table.revision;
        let value = Value { text: body.value, revision, lease: body.lease };
        table.values.insert(key.to_owned(), value);
        drop(table);
        self.changed.notify_waiters();
        json_response(200, &SwapReply { revision })
    }

    fn remove(&self, key: &str, base: Revision) -> Response<Body> {
        let mut table = self.table();
        let current = table.values.get(key).map_or(Revision(0), |v| v.revision);
        if current != base {
            return json_response(409, &SwapReply { revision: current });
        }
        table.values.remove(key);
        table.revision = table.revision.next();
        text_response(200, "removed")
    }

    fn lease(&self, method: &Method, id: &str, request: &BufferedRequest) -> Response<Body> {
        let mut table = self.table();
        if method == Method::POST {
            let Some(body) = request.json::<GrantBody>() else {
                return text_response(400, "the body is not a lease request");
            };
            table.writes += 1;
            let lease = LeaseId(table.writes);
            table.leases.insert(lease, (Instant::now() + body.ttl.duration(), body.ttl.duration()));
            return json_response(200, &GrantReply { lease });
        }
        let id = LeaseId(id.parse().unwrap_or(0));
        let Some((end, ttl)) = table.leases.get_mut(&id) else {
            return text_response(410, "the lease has expired");
        };
        match *method {
            Method::PUT => *end = Instant::now() + *ttl,
            _ => *end = Instant::now(),
        }
        text_response(200, "done")
    }

    /// Whether the response to the current write is lost.
    fn loses_response(&self) -> bool {
        let writes = {
            let mut table = self.table();
            table.writes += 1;
            table.writes
        };
        self.faults.update(|f| {
            let lose_next = f.lose_next > 0;
            f.lose_next = f.lose_next.saturating_sub(1);
            lose_next || (f.lose_every > 0 && writes.is_multiple_of(f.lose_every))
        })
    }

    /// Counts a call, and returns whether the rate limit allows it.
    fn within_rate(&self, rate: u32) -> bool {
        let now = Instant::now();
        let mut table = self.table();
        let window = table.rate_window.filter(|(t, _)| now - *t < Duration::from_secs(1));
        let (start, used) = window.unwrap_or((now, 0));
        table.rate_window = Some((start, used + 1));
        rate == 0 || used < rate
    }
}

impl Table {
    /// Removes expired leases and the values bound to them.
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
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let request = BufferedRequest::read(request).await;
        let faults = self.faults.get();
        let write = request.method != Method::GET;
        let counter = if write { &self.calls.writes } else { &self.calls.reads };
        counter.fetch_add(1, Ordering::Relaxed);
        if faults.down {
            return text_response(503, "the service is down");
        }
        if !self.within_rate(faults.call_rate) {
            return text_response(429, "the call rate is exceeded");
        }
        sleep(faults.delay).await;
        let mut parts = request.path.trim_start_matches('/').splitn(2, '/');
        let (area, key) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        let response = match (area, &request.method) {
            ("kv", &Method::GET) => match self.table().entry(key) {
                Some(entry) => json_response(200, &entry),
                None => text_response(404, "unknown key"),
            },
            ("kv", &Method::PUT) => match request.json() {
                Some(body) => self.swap(key, body),
                None => text_response(400, "the body is not a swap request"),
            },
            ("kv", &Method::DELETE) => self.remove(key, Revision(request.query_number("base"))),
            ("watch", _) => self.watch(key, &request).await,
            ("leases", method) => self.lease(method, key, &request),
            _ => text_response(404, "unknown path"),
        };
        if area == "kv" && write && self.loses_response() {
            return Response::new(broken_body());
        }
        response
    }
}

/// A body that fails at once, so that the connection closes without a complete response.
pub(crate) fn broken_body() -> Body {
    use futures_util::{stream, StreamExt};
    let error = std::io::Error::other("the response is lost by an injected fault");
    lentil_node::http::streamed(stream::once(async move { Err(error) }).boxed())
}
