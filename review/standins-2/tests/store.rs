//! Stand-in for the platform's store.

use crate::{
    http::{respond, serve, Message},
    json::{base64, quote, Json},
};
use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

/// Items of one page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
            quote(key),
            quote(&self.value),
            self.revision,
            self.created,
            self.lease
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: revision, key and the event.
    history: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item { value: value.to_owned(), revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), item.json(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = format!(
                "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                quote(key),
                self.revision
            );
            self.history.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let ended = self.leases.remove(&lease).is_some();
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        if ended && !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
        ended
    }
}

/// A store on a loopback address; clones share it.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Starts a store and returns it with its address.
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        store.state().revision = 1;
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            let mut state = expiring.state();
            let now = Instant::now();
            let over: Vec<u64> = state
                .leases
                .iter()
                .filter(|(_, (end, _))| *end <= now)
                .map(|(id, _)| *id)
                .collect();
            if over.into_iter().fold(false, |any, id| state.end_lease(id) || any) {
                expiring.0 .1.notify_all();
            }
        });
        let serving = store.clone();
        let address = serve(move |request, stream| serving.answer(request, stream));
        (store, address)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0 .0.lock().expect("the store's lock")
    }

    /// Writes a value as the operator or a runner does.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.put(key, &base64(value.as_bytes()), 0);
        self.0 .1.notify_all();
    }

    /// Removes a key, as the store does with the entry of a silent runner.
    pub fn erase(&self, key: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.remove(key);
        self.0 .1.notify_all();
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let (status, body) = self.call(request);
        respond(stream, status, &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn call(&self, request: &Message) -> (u16, String) {
        let (method, path) = (request.word(0), request.path().to_owned());
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let id = || path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        match (method, path.split('/').nth(2).unwrap_or("")) {
            ("GET", "kv-key") => {
                let (key, state) = (request.query("key").unwrap_or_default(), self.state());
                let Some(item) = state.items.get(&key) else { return (404, "{}".into()) };
                let json = item.json(&key);
                (200, format!("{},\"as_of\":{}}}", &json[..json.len() - 1], state.revision))
            }
            ("GET", "kv-range") => {
                let prefix = request.query("path_prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let state = self.state();
                let found =
                    state.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let found: Vec<String> = found.map(|(k, i)| i.json(k)).collect();
                let page = &found[..found.len().min(PAGE)];
                let more = found.len() > PAGE;
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"more_pages\":{more},\"as_of\":{}}}",
                        page.join(","),
                        state.revision
                    ),
                )
            }
            ("GET", "kv-watch") => self.watch(request),
            ("POST", "kv-txn") => self.transact(&body),
            ("POST", "kv-lease") => {
                let mut state = self.state();
                let ttl = Duration::from_millis(body.get("ttl_ms").number().max(1_000));
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            ("POST", "kv-keep") => match self.state().leases.get_mut(&id()) {
                Some((end, ttl)) => {
                    *end = Instant::now() + *ttl;
                    (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                }
                None => (404, "{}".into()),
            },
            ("DELETE", "kv-lease-end") => {
                let ended = self.state().end_lease(id());
                self.0 .1.notify_all();
                (if ended { 200 } else { 404 }, "{}".into())
            }
            _ => (400, "{}".into()),
        }
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("path_prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
        let end = Instant::now() + wait;
        let mut state = self.state();
        loop {
            if after > state.revision {
                return (410, "{}".into());
            }
            let first = state.history.partition_point(|(revision, ..)| *revision <= after);
            let found =
                state.history[first..].iter().filter(|(_, key, _)| key.starts_with(&prefix));
            let events: Vec<String> = found.map(|(_, _, event)| event.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (
                    200,
                    format!("{{\"events\":[{}],\"as_of\":{}}}", events.join(","), state.revision),
                );
            }
            state = self.0 .1.wait_timeout(state, left).expect("the store's lock").0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state();
        let revision_of = |state: &State, key: &str| state.items.get(key).map_or(0, |i| i.revision);
        let expected = body.get("expected").list();
        if expected
            .iter()
            .any(|e| revision_of(&state, e.get("key").text()) != e.get("revision").number())
        {
            let items = expected.iter().map(|e| {
                let key = e.get("key").text();
                let absent = || format!("{{\"key\":{},\"revision\":0}}", quote(key));
                state.items.get(key).map_or_else(absent, |i| i.json(key))
            });
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("puts").list();
        let lease = |put: &Json| put.get("lease").number();
        if puts.iter().any(|p| lease(p) > 0 && !state.leases.contains_key(&lease(p))) {
            return (404, "{}".into());
        }
        let keys = puts.iter().map(|p| p.get("key")).chain(body.get("remove").list());
        if keys.into_iter().any(|k| k.text().starts_with("op/") || k.text().starts_with("servers/"))
        {
            return (403, "{}".into());
        }
        state.revision += 1;
        for put in puts {
            state.put(put.get("key").text(), put.get("value").text(), lease(put));
        }
        body.get("remove").list().iter().for_each(|key| state.remove(key.text()));
        self.0 .1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}
