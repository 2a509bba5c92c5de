//! Streams that break off and are resumed, on a route that has two services.

use crate::{
    http::{read_chunk, read_body, send},
    instance::{await_ready, Instance},
    record::Record,
    runner::{Answers, Runner},
    store::Store,
};
use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["bergen-hall", "flam-hall", "alesund-hall"];
const INSTANCES: usize = 6;
const STREAMS: usize = 24;
/// Time limit of a client, as for the site's resumable kind of request.
const TIME_LIMIT: Duration = Duration::from_millis(5_000);
/// Attempts of a client after the first one.
const RETRIES: usize = 2;

struct Deployment {
    store: Store,
    instances: Vec<Instance>,
}

/// What a client has received of its stream.
#[derive(Default)]
struct Text {
    /// The services and software versions that made its events.
    makers: BTreeSet<String>,
    last: u64,
    complete: bool,
}

/// Writes a config whose only route streams from the given services.
fn write_config(store: &Store, record: &Record, version: u32, services: &str) {
    let engine = r#""engine":{"slots":48,"kv_tokens":591124,"kv_token_bytes":18432,"link_mbps":370000.0,"moves":true,"backups":true,"stride":10,"most":12,"handle_ttl_s":5.0,"switch_time_s":3.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}"#;
    let service = |name: &str| {
        format!(r#"{{"name":"{name}","health_path":"/healthz","max_connections":290,"protocol":"h1","tls":false,{engine}}}"#)
    };
    let config = format!(
        r#"{{"version":{version},"routes":[{{"name":"briefs","host":"site.example","path_prefix":"/brief/","route_type":"streaming","timeout_ms":5000,"target_latency_ms":400,"priority":1,{services},"max_attempts":2,"session_affinity":true,"resumable":true,"target_gap_ms":200}}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        service("guide-one"),
        service("guide-two")
    );
    store.write("op/config", &config);
    record.line(&format!("config version={version} {services}"));
}

impl Deployment {
    fn start(record: &Record, folder: &Path, services: &str) -> Result<Self, String> {
        let (store, address) = Store::start();
        write_config(&store, record, 1, services);
        let answers = Answers { events: 30, gap: Duration::from_millis(100), filler: 60 };
        for (i, zone) in ZONES.iter().enumerate() {
            for (service, version) in [("guide-one", "v1"), ("guide-two", "v2")] {
                let id = format!("i-{service}-{i}");
                Runner::start(&store, record, &id, service, version, zone, answers.clone());
            }
        }
        let start = |i: usize| {
            Instance::start(folder, &format!("edge-{i}"), ZONES[i % ZONES.len()], address, 260)
        };
        let instances: Vec<Instance> = (0..INSTANCES).map(start).collect();
        if !await_ready(&instances) {
            return Err("the instances are not ready".into());
        }
        // The lists of instances and of software versions settle.
        thread::sleep(Duration::from_secs(8));
        Ok(Self { store, instances })
    }
}

/// Reads events until the stream ends or `stop` is set; an error says that it broke off.
fn receive(
    at: SocketAddr,
    headers: &[(&str, String)],
    text: &mut Text,
    stop: &AtomicBool,
) -> io::Result<(u16, Option<f64>)> {
    let patience = Duration::from_millis(2_000);
    let (mut head, mut reader) = send(at, "POST /brief/7", headers, b"a tour", patience)?;
    if head.status() != 200 {
        let wait = head.header("retry-after").and_then(|v| v.parse().ok());
        read_body(&mut reader, &mut head)?;
        return Ok((head.status(), wait));
    }
    let mut bytes = String::new();
    while let Some(chunk) = read_chunk(&mut reader)? {
        bytes.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((event, rest)) = bytes.split_once("\n\n") {
            let field = |name: &str| event.lines().find_map(|l| l.strip_prefix(name));
            text.last = field("id:").and_then(|v| v.trim().parse().ok()).unwrap_or(text.last);
            let words: Vec<&str> = field("data:").unwrap_or("").split_whitespace().collect();
            text.makers.insert(words.iter().take(2).copied().collect::<Vec<_>>().join(" "));
            bytes = rest.to_owned();
        }
        if stop.load(Ordering::SeqCst) {
            return Err(io::Error::other("the channel was closed"));
        }
    }
    text.complete = true;
    Ok((200, None))
}

/// A client: begins a stream at the first address and, when it breaks off, resumes it at others.
fn client(record: &Record, number: usize, first: SocketAddr, others: &[SocketAddr], cut: &AtomicBool) -> Text {
    let began = Instant::now();
    let mut text = Text::default();
    let original = format!("c{number:02}a0{:08x}", std::process::id());
    let never = AtomicBool::new(false);
    for attempt in 0..=RETRIES {
        let left = TIME_LIMIT.saturating_sub(began.elapsed());
        if left.is_zero() {
            break;
        }
        let id = original.replace("a0", &format!("a{attempt}"));
        let mut headers = vec![
            ("Host", "site.example".to_owned()),
            ("Request-Id", id.clone()),
            ("Model", "m".to_owned()),
            ("Token-Count", "600,60".to_owned()),
            ("Prompt-Prefix", format!("5c1e07a2:500,{number:x}:100")),
            ("Deadline-Ms", left.as_millis().to_string()),
        ];
        if text.last > 0 {
            headers.push(("Last-Event-Id", text.last.to_string()));
            // Names the attempt that brought the first event, so that the system may find its origin.
            headers.push(("Resumes", original.clone()));
        }
        let at = if attempt == 0 { first } else { others[(number + attempt) % others.len()] };
        record.line(&format!("sent id={id} to={at} after={}", text.last));
        let stop = if attempt == 0 { cut } else { &never };
        let result = receive(at, &headers, &mut text, stop);
        record.line(&format!("answer id={id} {result:?} last={} made_by={:?}", text.last, text.makers));
        match result {
            Ok((200, _)) => break,
            Ok((429 | 503, Some(wait))) => thread::sleep(Duration::from_secs_f64(wait.min(1.0))),
            _ => {}
        }
    }
    text
}

/// Has clients begin streams at the first instance, and resume them at the others when they break off.
fn play(
    record: &Record,
    deployment: &mut Deployment,
    cut: &Arc<AtomicBool>,
    disrupt: impl FnOnce(&mut Deployment),
) -> bool {
    let addresses: Vec<SocketAddr> = deployment.instances.iter().map(|i| i.callers).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, addresses, cut) = (record.clone(), addresses.clone(), cut.clone());
            thread::spawn(move || client(&record, number, addresses[0], &addresses[1..], &cut))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    disrupt(deployment);
    let texts: Vec<Text> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let joined = texts.iter().filter(|t| t.makers.len() > 1).count();
    let complete = texts.iter().filter(|t| t.complete).count();
    let summary = format!("streams={} complete={complete} joined_from_two_versions={joined}", texts.len());
    record.line(&summary);
    println!("{summary}");
    joined > 0
}

/// A route is split between two services; the process that forwards the streams is killed.
pub fn split(record: &Record, folder: &Path, trouble: bool) -> Result<bool, String> {
    let services = r#""traffic_split":[{"service":"guide-one","weight":50},{"service":"guide-two","weight":50}]"#;
    let mut deployment = Deployment::start(record, folder, services)?;
    let never = Arc::default();
    Ok(play(record, &mut deployment, &never, |deployment| {
        if trouble {
            record.line("the process edge-0 is killed");
            deployment.instances[0].kill();
            thread::sleep(Duration::from_millis(500));
            deployment.instances[0].restart();
        }
    }))
}

/// The channels of clients are closed; before that the route was moved to another service.
pub fn moved(record: &Record, folder: &Path, trouble: bool) -> Result<bool, String> {
    let mut deployment = Deployment::start(record, folder, r#""service":"guide-one""#)?;
    let cut: Arc<AtomicBool> = Arc::default();
    let cutting = cut.clone();
    Ok(play(record, &mut deployment, &cut, move |deployment| {
        if trouble {
            write_config(&deployment.store, record, 2, r#""service":"guide-two""#);
        }
        thread::sleep(Duration::from_millis(1_000));
        record.line("the channels of the clients break off");
        cutting.store(true, Ordering::SeqCst);
    }))
}
