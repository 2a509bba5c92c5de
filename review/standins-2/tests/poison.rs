//! A request that crashes the runners that run it, on a route that is split between two services.

use crate::{
    http::{call, read_body, read_head, respond, Message},
    instance::{await_ready, Instance},
    record::Record,
    store::Store,
};
use std::{
    io::{self, BufReader},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["bergen-hall", "flam-hall", "alesund-hall"];
const INSTANCES: usize = 3;
const RUNNERS: usize = 3;
/// Time until a runner that has crashed is back; the pages say some seconds.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Time for which the entry of a crashed runner stays: three check-in intervals.
const SILENCE: Duration = Duration::from_millis(3_600);
const WORK: Duration = Duration::from_millis(60);
/// `stable_window_ms` of the site.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Retries that the rule allows after the third crash.
const ALLOWED: usize = 3;
/// Time between two attempts of the client that sends the request.
const PAUSE: Duration = Duration::from_millis(1_000);
const LENGTH: Duration = Duration::from_secs(98);
/// Path of the request that crashes runners.
const POISON: &str = "/row/poison";

/// What all runners share.
struct Fleet {
    store: Store,
    record: Record,
    trouble: bool,
    started: AtomicU64,
    /// Runs of the request, and crashes.
    runs: Mutex<Vec<Instant>>,
}

struct Runner {
    id: String,
    service: &'static str,
    alive: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
    running: AtomicUsize,
}

impl Fleet {
    fn start_runner(self: &Arc<Self>, service: &'static str, zone: &'static str) {
        let number = self.started.fetch_add(1, Ordering::SeqCst);
        let runner = Arc::new(Runner {
            id: format!("i-{service}-{number}"),
            service,
            alive: AtomicBool::new(true),
            channels: Mutex::default(),
            running: AtomicUsize::new(0),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a listener that doesn't wait");
        let address = listener.local_addr().expect("an address");
        let entry = format!("{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq_no\":0}}");
        let (fleet, accepting) = (self.clone(), runner.clone());
        thread::spawn(move || {
            while accepting.alive.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let (fleet, runner) = (fleet.clone(), accepting.clone());
                thread::spawn(move || fleet.serve(&runner, stream));
            }
            drop(listener);
            // The process is gone: its channels end, and its entry expires.
            for channel in accepting.channels.lock().expect("the channels").drain(..) {
                // Fails for those that have ended.
                let _ = channel.shutdown(Shutdown::Both);
            }
            let key = format!("servers/{}", accepting.id);
            let expiring = fleet.store.clone();
            thread::spawn(move || {
                thread::sleep(SILENCE);
                expiring.erase(&key);
            });
            thread::sleep(BACK_AFTER);
            fleet.start_runner(service, zone);
        });
        let fleet = self.clone();
        thread::spawn(move || {
            while runner.alive.load(Ordering::SeqCst) {
                fleet.store.write(&format!("servers/{}", runner.id), &entry);
                thread::sleep(Duration::from_millis(1_200));
            }
        });
    }

    fn serve(&self, runner: &Runner, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        runner.channels.lock().expect("the channels").push(stream.try_clone()?);
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let mut request = read_head(&mut reader)?;
            read_body(&mut reader, &mut request)?;
            self.answer(runner, &request, &mut stream)?;
        }
    }

    fn answer(&self, runner: &Runner, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        if !runner.alive.load(Ordering::SeqCst) {
            return Err(io::Error::other("the runner has crashed"));
        }
        if request.header("expect-instance").is_some_and(|id| id != runner.id) {
            return respond(stream, 421, &[("Instance-Id", &runner.id)], b"");
        }
        let load = format!("{},0,6", runner.running.load(Ordering::SeqCst));
        if request.path() == "/v1/report" {
            let body = format!("{{\"phase\":\"decode\",\"models\":[],\"busy\":false,\"seq_no\":0,\"waiting\":0,\"running\":{},\"kv_used\":0,\"kv_total\":0,\"kv_handles\":0}}", runner.running.load(Ordering::SeqCst));
            return respond(stream, 200, &[("Content-Type", "application/json")], body.as_bytes());
        }
        if request.path() == "/healthz" {
            return respond(
                stream,
                200,
                &[("Instance-Id", &runner.id), ("Instance-Load", &load)],
                b"",
            );
        }
        let id = request.header("request-id").unwrap_or("").to_owned();
        self.record.line(&format!(
            "run id={id} {} at={} service={}",
            request.path(),
            runner.id,
            runner.service
        ));
        runner.running.fetch_add(1, Ordering::SeqCst);
        if request.path() == POISON {
            let runs = {
                let mut runs = self.runs.lock().expect("the runs");
                runs.push(Instant::now());
                runs.len()
            };
            if self.trouble {
                thread::sleep(Duration::from_millis(20));
                self.record.line(&format!("crash at={} number={runs}", runner.id));
                runner.alive.store(false, Ordering::SeqCst);
                return Err(io::Error::other("the runner crashes"));
            }
        }
        thread::sleep(WORK);
        runner.running.fetch_sub(1, Ordering::SeqCst);
        let seal = format!("{}.{id}", runner.id);
        let headers = [("Request-Id", &*id), ("Response-Seal", &*seal), ("Instance-Load", &*load)];
        respond(stream, 200, &headers, b"row")
    }
}

fn ask(record: &Record, at: SocketAddr, method: &str, path: &str, id: &str, limit: u64) -> u16 {
    let headers = [
        ("Host", "site.example".to_owned()),
        ("Request-Id", id.to_owned()),
        ("Deadline-Ms", limit.to_string()),
    ];
    let line = format!("{method} {path}");
    let answer = call(at, &line, &headers, b"", Duration::from_millis(limit));
    let status = answer.map_or(0, |a| a.status());
    record.line(&format!("answer id={id} {line} status={status}"));
    status
}

/// One client sends a request that crashes runners again and again; others send ordinary ones.
pub fn play(record: &Record, folder: &Path, trouble: bool) -> Result<bool, String> {
    let (store, address) = Store::start();
    store.write("op/config", r#"{"version":1,"routes":[{"name":"rows","host":"site.example","path_prefix":"/row/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"traffic_split":[{"service":"desk-one","weight":50},{"service":"desk-two","weight":50}],"max_attempts":2,"session_affinity":false},{"name":"vouchers","host":"site.example","path_prefix":"/voucher/","route_type":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"traffic_split":[{"service":"desk-one","weight":50},{"service":"desk-two","weight":50}],"max_attempts":1,"session_affinity":false}],"services":[{"name":"desk-one","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false},{"name":"desk-two","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#);
    let fleet = Arc::new(Fleet {
        store,
        record: record.clone(),
        trouble,
        started: AtomicU64::new(0),
        runs: Mutex::default(),
    });
    for zone in ZONES.into_iter().take(RUNNERS) {
        fleet.start_runner("desk-one", zone);
        fleet.start_runner("desk-two", zone);
    }
    let start = |i: usize| Instance::start(folder, &format!("edge-{i}"), ZONES[i], address, 260);
    let instances: Vec<Instance> = (0..INSTANCES).map(start).collect();
    if !await_ready(&instances) {
        return Err("the instances are not ready".into());
    }
    thread::sleep(Duration::from_secs(7));
    let addresses: Vec<SocketAddr> = instances.iter().map(|i| i.callers).collect();
    let began = Instant::now();
    let lost = Arc::new(AtomicUsize::new(0));
    let ordinary: Vec<_> = (0..12)
        .map(|client| {
            let (record, addresses, lost) = (record.clone(), addresses.clone(), lost.clone());
            thread::spawn(move || {
                let mut number = 0;
                while began.elapsed() < LENGTH {
                    let id = format!("o{client:02}{number:06x}");
                    let at = addresses[(client + number) % addresses.len()];
                    let status = ask(&record, at, "POST", &format!("/voucher/{id}"), &id, 2_000);
                    if status == 502 || status == 0 {
                        lost.fetch_add(1, Ordering::SeqCst);
                    }
                    number += 1;
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut number = 0;
    while began.elapsed() < LENGTH {
        let at = addresses[number % addresses.len()];
        ask(record, at, "GET", POISON, &format!("p{number:08x}"), 2_000);
        number += 1;
        thread::sleep(PAUSE);
    }
    for client in ordinary {
        // A client that panicked shows in the record.
        let _ = client.join();
    }
    let runs = fleet.runs.lock().expect("the runs").clone();
    let late = match runs.get(2).filter(|_| trouble) {
        Some(third) => runs.iter().filter(|run| **run > *third + STABLE_WINDOW).count(),
        None => 0,
    };
    let summary = format!(
        "runs={} late_after_third_crash={late} allowed={ALLOWED} other_requests_lost={}",
        runs.len(),
        lost.load(Ordering::SeqCst)
    );
    record.line(&summary);
    println!("{summary}");
    Ok(late > ALLOWED)
}
