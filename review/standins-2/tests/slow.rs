//! Clients that read their streams slowly.

use crate::{
    http::{call, read_head},
    instance::{await_ready, Instance},
    record::Record,
    runner::{Answers, Runner},
    store::Store,
};
use std::{
    io::{self, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

const RUNNERS: usize = 9;
const CLIENTS: usize = 480;
/// Memory of a machine of the site.
const MEMORY_MB: u32 = 260;
/// Bytes of text of one event; the system forwards events of up to 64 KiB.
const EVENT_BYTES: usize = 40_000;
/// Time for which the memory is watched.
const LENGTH: Duration = Duration::from_secs(12);
/// Pause of a slow client between two reads of 1 KiB.
const PAUSE: Duration = Duration::from_millis(200);

fn resident_mb(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
    let kib: f64 = line.split_whitespace().nth(1).and_then(|v| v.parse().ok()).unwrap_or(0.0);
    kib * 1024.0 / 1e6
}

fn client(
    at: SocketAddr,
    number: usize,
    slow: bool,
    stop: &AtomicBool,
    begun: &AtomicUsize,
) -> io::Result<()> {
    let mut stream = TcpStream::connect(at)?;
    let head = format!("POST /brief/{number} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: s{number:06x}\r\nContent-Length: 0\r\nDeadline-Ms: 10000\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::with_capacity(1024, stream);
    if read_head(&mut reader)?.status() == 200 {
        begun.fetch_add(1, Ordering::SeqCst);
    }
    let mut bytes = [0; 1024];
    while !stop.load(Ordering::SeqCst) && reader.read(&mut bytes)? > 0 {
        if slow {
            thread::sleep(PAUSE);
        }
    }
    Ok(())
}

/// Many clients stream through one process; with the disruption they read slowly.
pub fn play(record: &Record, folder: &Path, trouble: bool) -> Result<bool, String> {
    let (store, address) = Store::start();
    store.write("op/config", r#"{"version":1,"routes":[{"name":"briefs","host":"site.example","path_prefix":"/brief/","route_type":"streaming","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"guide","max_attempts":1,"session_affinity":true,"resumable":false,"target_gap_ms":200}],"services":[{"name":"guide","health_path":"/healthz","max_connections":290,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#);
    for i in 0..RUNNERS {
        let answers = Answers { events: 400, gap: Duration::from_millis(5), filler: EVENT_BYTES };
        Runner::start(&store, record, &format!("i-{i}"), "guide", "v1", "bergen-hall", answers);
    }
    let mut instance = [Instance::start(folder, "edge-0", "bergen-hall", address, MEMORY_MB)];
    if !await_ready(&instance) {
        return Err("the instance is not ready".into());
    }
    thread::sleep(Duration::from_secs(6));
    let at = instance[0].callers;
    let (stop, begun) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    for number in 0..CLIENTS {
        let (stop, begun, record) = (stop.clone(), begun.clone(), record.clone());
        thread::spawn(move || {
            record.line(&format!("sent id=s{number:06x}"));
            let ended = client(at, number, trouble, &stop, &begun);
            record.line(&format!("ended id=s{number:06x} {ended:?}"));
        });
    }
    let (began, mut peak, mut ended) = (Instant::now(), 0.0_f64, false);
    while began.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(250));
        let now = resident_mb(instance[0].pid());
        peak = peak.max(now);
        ended |= instance[0].has_ended();
        record.line(&format!("memory={now:.0} MB streams_begun={}", begun.load(Ordering::SeqCst)));
    }
    let host = [("Host", "site.example".to_owned())];
    let answers = call(at, "GET /none", &host, b"", Duration::from_secs(2)).is_ok();
    stop.store(true, Ordering::SeqCst);
    let summary =
        format!("peak_memory={peak:.0} MB limit={MEMORY_MB} MB ended={ended} answers={answers}");
    record.line(&summary);
    println!("{summary}");
    Ok(ended || peak > f64::from(MEMORY_MB))
}
