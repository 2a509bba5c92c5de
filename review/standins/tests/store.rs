//! Stand-in of the platform's store.
//!
//! Each machine has a listener of its own, so that the store can treat machines differently.

use {
    crate::{
        http::{read_message, response, Message},
        json::{base64, from_base64, quote, Json},
    },
    std::{
        collections::{BTreeMap, HashSet},
        io::{BufReader, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex, MutexGuard},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Debug, Clone)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone)]
struct Event {
    key: String,
    revision: u64,
    /// `None` if the key was removed.
    item: Option<Item>,
}

#[derive(Clone, Default)]
struct Data {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

#[derive(Default)]
struct State {
    data: Data,
    /// Copies for a drill, by the time of each.
    copies: Vec<(Instant, Data)>,
    /// Counts the restores from a copy.
    era: u64,
    last_lease: u64,
    /// Machines that get no responses.
    silent: HashSet<usize>,
    /// Machines that are told other addresses of the runners: each with the one that it is told.
    views: BTreeMap<usize, Vec<(String, String)>>,
    away: bool,
    /// Connections in use, so that an outage can close them.
    open: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

/// What becomes of a call.
enum Reply {
    Answer(u16, String),
    /// The response is lost, and the channel returns nothing further.
    Lost,
    Closed,
}

impl Store {
    pub fn new() -> Self {
        let state = State { data: Data { revision: 10, ..Data::default() }, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())) };
        let ticker = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            ticker.expire_leases();
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Serves one machine; returns the address for it.
    pub fn listen(&self, machine: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(machine, stream));
            }
        });
        address
    }

    /// Writes a key as the operator or a runner does; returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.lock();
        let revision = put(&mut state.data, key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
        revision
    }

    /// Returns the value of a key, in base64.
    pub fn value(&self, key: &str) -> Option<String> {
        self.lock().data.items.get(key).map(|item| item.value.clone())
    }

    pub fn remove(&self, key: &str) {
        remove(&mut self.lock().data, key);
        self.state.1.notify_all();
    }

    /// Begins or ends a time in which a machine gets no responses.
    pub fn set_silent(&self, machine: usize, silent: bool) {
        let mut state = self.lock();
        match silent {
            true => state.silent.insert(machine),
            false => state.silent.remove(&machine),
        };
        drop(state);
        self.state.1.notify_all();
    }

    /// Tells a machine other addresses of the runners, so that a proxy can stand on the path to them.
    pub fn set_view(&self, machine: usize, addresses: Vec<(String, String)>) {
        self.lock().views.insert(machine, addresses);
    }

    /// Returns a body as a machine gets it.
    fn view(&self, machine: usize, body: String) -> String {
        const VALUE: &str = "\"value\":\"";
        let state = self.lock();
        let Some(addresses) = state.views.get(&machine) else { return body };
        let mut parts = body.split(VALUE);
        let mut seen = parts.next().unwrap_or("").to_owned();
        for part in parts {
            let (value, rest) = part.split_once('"').unwrap_or((part, ""));
            let mut text = from_base64(value);
            for (real, told) in addresses {
                text = text.replace(&format!("\"{real}\""), &format!("\"{told}\""));
            }
            seen += &format!("{VALUE}{}\"{rest}", base64(text.as_bytes()));
        }
        seen
    }

    /// Keeps a copy of everything from now on every 100 ms.
    pub fn keep_copies(&self) {
        let store = self.clone();
        thread::spawn(move || loop {
            let mut state = store.lock();
            if !state.away {
                let copy = (Instant::now(), state.data.clone());
                state.copies.push(copy);
            }
            drop(state);
            thread::sleep(Duration::from_millis(100));
        });
    }

    /// Takes the store away: connections are closed, new ones too.
    pub fn take_away(&self) {
        let mut state = self.lock();
        state.away = true;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// Brings the store back from the latest copy that is as old as `age` or older at `from`; returns
    /// its real age. Keys that the operator and the runners wrote are written again.
    pub fn restore(&self, from: Instant, age: Duration) -> Duration {
        let mut state = self.lock();
        let found = state.copies.iter().rev().find(|(at, _)| from - *at >= age).cloned();
        let (at, copy) = found.unwrap_or_else(|| state.copies[0].clone());
        let latest = std::mem::replace(&mut state.data, copy);
        // What the system wrote since is gone, leases too. Those that had been granted before run on.
        let moment = Instant::now();
        for (ttl, end) in state.data.leases.values_mut() {
            *end = moment + *ttl;
        }
        let others = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        for (key, item) in latest.items.iter().filter(|(key, _)| others(key)) {
            let same = state.data.items.get(key).is_some_and(|i| i.value == item.value);
            if !same {
                put(&mut state.data, key, item.value.clone(), 0);
            }
        }
        let left =
            state.data.items.keys().filter(|key| others(key) && !latest.items.contains_key(*key));
        let left: Vec<String> = left.cloned().collect();
        left.iter().for_each(|key| remove(&mut state.data, key));
        state.era += 1;
        state.away = false;
        drop(state);
        self.state.1.notify_all();
        from - at
    }

    fn expire_leases(&self) {
        let mut state = self.lock();
        if state.away {
            return;
        }
        let now = Instant::now();
        let over: Vec<u64> = state
            .data
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &over {
            end_lease(&mut state.data, *id);
        }
        drop(state);
        if !over.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn serve(&self, machine: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        {
            let mut state = self.lock();
            if state.away {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                state.open.push(copy);
            }
        }
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            match self.handle(machine, &request) {
                Reply::Answer(status, body) => {
                    let body = self.view(machine, body);
                    let era = self.lock().era.to_string();
                    let headers =
                        [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
                    if writer.write_all(response(status, &headers, &body).as_bytes()).is_err() {
                        return;
                    }
                }
                Reply::Closed => return,
                Reply::Lost => {
                    let mut rest = Vec::new();
                    let _ = reader.read_to_end(&mut rest);
                    return;
                }
            }
        }
    }

    fn handle(&self, machine: usize, request: &Message) -> Reply {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map_or(String::new(), |(_, v)| v.replace("%2F", "/"))
        };
        let number = |name: &str| parameter(name).parse::<u64>().unwrap_or(0);
        let (status, body) = if path == "/v1/kv-watch" {
            match self.watch(machine, &parameter("path_prefix"), number("after"), number("wait_ms"))
            {
                Ok(answer) => answer,
                Err(reply) => return reply,
            }
        } else {
            let mut state = self.lock();
            if state.away {
                return Reply::Closed;
            }
            if state.silent.contains(&machine) {
                return Reply::Lost;
            }
            let answer = match path {
                "/v1/kv-key" => read_key(&state.data, &parameter("key")),
                "/v1/kv-range" => read_range(&state.data, &parameter("path_prefix")),
                "/v1/kv-txn" => commit(&mut state.data, &body_of(request)),
                "/v1/kv-lease" => {
                    // Identifiers of leases are not given out twice.
                    state.last_lease += 1;
                    let (id, ttl) = (state.last_lease, body_of(request).get("ttl_ms").number());
                    let time = Duration::from_millis(ttl);
                    state.data.leases.insert(id, (time, Instant::now() + time));
                    (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
                }
                _ => lease_call(&mut state.data, path),
            };
            drop(state);
            self.state.1.notify_all();
            answer
        };
        Reply::Answer(status, body)
    }

    fn watch(
        &self,
        machine: usize,
        prefix: &str,
        after: u64,
        wait: u64,
    ) -> Result<(u16, String), Reply> {
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.away {
                return Err(Reply::Closed);
            }
            let now = Instant::now();
            let answer = if after > state.data.revision || state.era != era {
                Some((410, "{}".to_owned()))
            } else {
                let events: Vec<&Event> = state
                    .data
                    .events
                    .iter()
                    .filter(|e| e.revision > after && e.key.starts_with(prefix))
                    .collect();
                (!events.is_empty() || now >= end).then(|| {
                    let events: Vec<String> = events.iter().map(|e| event_json(e)).collect();
                    let as_of = state.data.revision;
                    (200, format!("{{\"events\":[{}],\"as_of\":{as_of}}}", events.join(",")))
                })
            };
            if let Some(answer) = answer {
                return match state.silent.contains(&machine) {
                    true => Err(Reply::Lost),
                    false => Ok(answer),
                };
            }
            state = self.state.1.wait_timeout(state, end - now).unwrap().0;
        }
    }
}

fn body_of(request: &Message) -> Json {
    Json::parse(&request.text()).unwrap_or(Json::Null)
}

fn put(data: &mut Data, key: &str, value: String, lease: u64) -> u64 {
    data.revision += 1;
    let revision = data.revision;
    let created = data.items.get(key).map_or(revision, |i| i.created);
    let item = Item { value, revision, created, lease };
    data.items.insert(key.to_owned(), item.clone());
    data.events.push(Event { key: key.to_owned(), revision, item: Some(item) });
    revision
}

fn remove(data: &mut Data, key: &str) {
    if data.items.remove(key).is_some() {
        data.revision += 1;
        data.events.push(Event { key: key.to_owned(), revision: data.revision, item: None });
    }
}

fn end_lease(data: &mut Data, id: u64) {
    data.leases.remove(&id);
    let of_lease = data.items.iter().filter(|(_, i)| i.lease == id);
    let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
    keys.iter().for_each(|key| remove(data, key));
}

fn item_json(key: &str, item: &Item, as_of: u64) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        "{{\"key\":{},\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease},\"as_of\":{as_of}}}",
        quote(key)
    )
}

fn event_json(event: &Event) -> String {
    match &event.item {
        Some(item) => item_json(&event.key, item, item.revision),
        None => format!(
            "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
            quote(&event.key),
            event.revision
        ),
    }
}

fn read_key(data: &Data, key: &str) -> (u16, String) {
    match data.items.get(key) {
        Some(item) => (200, item_json(key, item, data.revision)),
        None => (404, "{}".to_owned()),
    }
}

fn read_range(data: &Data, prefix: &str) -> (u16, String) {
    let found = data.items.iter().filter(|(key, _)| key.starts_with(prefix));
    let items: Vec<String> = found.map(|(key, i)| item_json(key, i, data.revision)).collect();
    let text = items.join(",");
    (200, format!("{{\"items\":[{text}],\"more_pages\":false,\"as_of\":{}}}", data.revision))
}

fn commit(data: &mut Data, body: &Json) -> (u16, String) {
    let revision_of = |data: &Data, key: &str| data.items.get(key).map_or(0, |item| item.revision);
    let differs = |e: &Json| revision_of(data, e.get("key").text()) != e.get("revision").number();
    if body.get("expected").list().iter().any(differs) {
        let keys = body.get("expected").list().iter().map(|e| e.get("key").text());
        let items: Vec<String> = keys
            .filter_map(|key| Some(item_json(key, data.items.get(key)?, data.revision)))
            .collect();
        return (412, format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let leases = body.get("puts").list().iter().map(|p| p.get("lease").number());
    if leases.into_iter().any(|lease| lease > 0 && !data.leases.contains_key(&lease)) {
        return (404, "{}".to_owned());
    }
    for entry in body.get("puts").list() {
        let (key, value) = (entry.get("key").text(), entry.get("value").text());
        put(data, key, value.to_owned(), entry.get("lease").number());
    }
    for key in body.get("remove").list() {
        remove(data, key.text());
    }
    (200, format!("{{\"revision\":{}}}", data.revision))
}

fn lease_call(data: &mut Data, path: &str) -> (u16, String) {
    let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
    let Some((ttl, end)) = data.leases.get_mut(&id) else { return (404, "{}".to_owned()) };
    let ttl = *ttl;
    if path.starts_with("/v1/kv-lease-end/") {
        end_lease(data, id);
    } else {
        *end = Instant::now() + ttl;
    }
    (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
}
