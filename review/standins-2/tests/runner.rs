//! Stand-in for runners: they register in the store, answer requests and carry out orders.

use crate::{
    http::{respond, serve, Message},
    record::Record,
    store::Store,
};
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

/// Interval between check-ins.
const CHECK_IN: Duration = Duration::from_millis(1_200);

/// Time for which a response may remain unread.
const UNREAD: Duration = Duration::from_secs(5);

/// What a runner sends as the answer to a request.
#[derive(Clone)]
pub struct Answers {
    /// Events of a whole stream.
    pub events: u64,
    /// Pause before each event.
    pub gap: Duration,
    /// Bytes of text of each event, beside its label.
    pub filler: usize,
}

/// A runner of a service.
pub struct Runner {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub answers: Answers,
    pub record: Record,
    phase: Mutex<String>,
    accepted: AtomicU64,
    handles: AtomicU64,
    running: AtomicU64,
}

impl Runner {
    /// Starts a runner and registers it in the store.
    pub fn start(
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        version: &str,
        zone: &str,
        answers: Answers,
    ) -> SocketAddr {
        let runner = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            version: version.into(),
            zone: zone.into(),
            answers,
            record: record.clone(),
            phase: Mutex::new("decode".into()),
            accepted: AtomicU64::new(0),
            handles: AtomicU64::new(1),
            running: AtomicU64::new(0),
        });
        let serving = runner.clone();
        let address = serve(move |request, stream| serving.answer(request, stream));
        let store = store.clone();
        runner.check_in(&store, address);
        thread::spawn(move || loop {
            thread::sleep(CHECK_IN);
            runner.check_in(&store, address);
        });
        address
    }

    fn phase(&self) -> String {
        self.phase.lock().expect("the phase").clone()
    }

    fn check_in(&self, store: &Store, address: SocketAddr) {
        let (service, zone, version, phase) =
            (&self.service, &self.zone, &self.version, self.phase());
        let accepted = self.accepted.load(Ordering::SeqCst);
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\"slots\":48,\"state\":\"ready\",\"cold_remaining_ms\":0,\"phase\":\"{phase}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq_no\":{accepted}}}"
        );
        store.write(&format!("servers/{}", self.id), &entry);
    }

    fn load(&self) -> String {
        format!("{},0,48", self.running.load(Ordering::SeqCst))
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        if request.header("expect-instance").is_some_and(|id| id != self.id) {
            return respond(stream, 421, &[("Instance-Id", &self.id)], b"");
        }
        let json = [("Content-Type", "application/json")];
        match (request.word(0), request.path()) {
            ("GET", "/v1/report") => {
                let body = format!(
                    "{{\"phase\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq_no\":{},\"waiting\":0,\"running\":{},\"kv_used\":0,\"kv_total\":591124,\"kv_handles\":0}}",
                    self.phase(),
                    self.accepted.load(Ordering::SeqCst),
                    self.running.load(Ordering::SeqCst)
                );
                respond(stream, 200, &json, body.as_bytes())
            }
            ("POST", "/v1/order") => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let phase =
                    if body.contains("\"phase\":\"prefill\"") { "prefill" } else { "decode" };
                *self.phase.lock().expect("the phase") = phase.into();
                self.accepted.fetch_add(1, Ordering::SeqCst);
                respond(stream, 202, &json, b"{}")
            }
            ("DELETE", _) => respond(stream, 200, &json, b"{}"),
            ("GET", "/healthz") => respond(
                stream,
                200,
                &[("Instance-Id", &self.id), ("Instance-Load", &self.load())],
                b"",
            ),
            _ => self.run(request, stream),
        }
    }

    fn run(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let Some(id) = request.header("request-id").map(str::to_owned) else {
            return respond(stream, 400, &[("Not-Executed", "1")], b"");
        };
        let prefill = request.header("stage") == Some("prefill");
        if prefill != (self.phase() == "prefill") {
            return respond(stream, 421, &[("Instance-Id", &self.id)], b"");
        }
        let load = self.load();
        if prefill {
            let handle = self.handles.fetch_add(1, Ordering::SeqCst);
            let body =
                format!("{{\"kv_handle\":\"{}{handle:x}\",\"tokens\":100,\"version\":1}}", self.id);
            return respond(
                stream,
                200,
                &[("Request-Id", &id), ("Instance-Load", &load)],
                body.as_bytes(),
            );
        }
        let after = request.header("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.record.line(&format!(
            "run id={id} at={} service={} version={} after={after}",
            self.id, self.service, self.version
        ));
        self.running.fetch_add(1, Ordering::SeqCst);
        let sent = self.stream(&id, after, &load, stream);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let end = if sent.is_ok() { "completed" } else { "broken off" };
        self.record.line(&format!("run id={id} at={} {end}", self.id));
        sent
    }

    fn stream(&self, id: &str, after: u64, load: &str, stream: &mut TcpStream) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: {}.{id}\r\nWeight-Versions: 1\r\nInstance-Load: {load}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        // A response that remains unread for some seconds is cut off.
        stream.set_write_timeout(Some(UNREAD))?;
        let filler = "x".repeat(self.answers.filler);
        for event in after + 1..=self.answers.events {
            thread::sleep(self.answers.gap);
            let text = format!("id: {event}\ndata: {} {} {filler}\n\n", self.service, self.version);
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
