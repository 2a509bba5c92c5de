//! Clients that send bodies piece by piece, beside ordinary ones.

use crate::{
    http::{call, read_head},
    instance::{await_ready, Instance},
    record::Record,
    runner::{Answers, Runner},
    store::Store,
};
use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// Memory of a machine of the site.
const MEMORY_MB: u32 = 260;
/// Clients that send slowly, and those that don't.
const SLOW_CLIENTS: usize = 800;
const ORDINARY: usize = 10;
/// Length of a slow body, and what is sent of it at once; the config allows 4 MiB.
const BODY: usize = 200_000;
const PIECE: usize = 2_000;
const PIECE_PAUSE: Duration = Duration::from_millis(500);
const LENGTH: Duration = Duration::from_secs(25);
/// `stable_window_ms` of the site.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Sends a body piece by piece until it is whole or the channel ends.
fn send_slowly(at: SocketAddr, id: &str, stop: &AtomicBool) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let head = format!("POST /row/slow HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nContent-Length: {BODY}\r\nDeadline-Ms: 10000\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    let piece = [b'x'; PIECE];
    for _ in 0..BODY / PIECE {
        if stop.load(Ordering::SeqCst) {
            return Ok(0);
        }
        stream.write_all(&piece)?;
        thread::sleep(PIECE_PAUSE);
    }
    Ok(read_head(&mut BufReader::new(stream))?.status())
}

/// Many clients send bodies slowly to one process; others send ordinary requests on new channels.
pub fn play(record: &Record, folder: &Path, trouble: bool) -> Result<bool, String> {
    let (store, address) = Store::start();
    store.write("op/config", r#"{"version":1,"routes":[{"name":"rows","host":"site.example","path_prefix":"/row/","route_type":"streaming","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"desk","max_attempts":1,"session_affinity":false,"resumable":false,"target_gap_ms":200}],"services":[{"name":"desk","health_path":"/healthz","max_connections":290,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#);
    for i in 0..3 {
        let answers = Answers { events: 3, gap: Duration::from_millis(20), filler: 60 };
        Runner::start(&store, record, &format!("i-{i}"), "desk", "v1", "bergen-hall", answers);
    }
    let instances = [Instance::start(folder, "edge-0", "bergen-hall", address, MEMORY_MB)];
    if !await_ready(&instances) {
        return Err("the instance is not ready".into());
    }
    thread::sleep(Duration::from_secs(6));
    let at = instances[0].callers;
    let stop = Arc::new(AtomicBool::new(false));
    let (began, answered) = (Instant::now(), Arc::new(Mutex::new(Vec::new())));
    let clients: Vec<_> = (0..ORDINARY)
        .map(|client| {
            let (record, answered) = (record.clone(), answered.clone());
            thread::spawn(move || {
                for number in 0.. {
                    if began.elapsed() > LENGTH {
                        return number;
                    }
                    let id = format!("o{client:02}{number:05x}");
                    let headers = [
                        ("Host", "site.example".to_owned()),
                        ("Request-Id", id.clone()),
                        ("Deadline-Ms", "2000".to_owned()),
                    ];
                    let answer = call(at, "GET /row/1", &headers, b"", Duration::from_secs(2));
                    let status = answer.as_ref().map(|a| a.status());
                    record.line(&format!("answer id={id} {status:?}"));
                    if status.is_ok() {
                        answered.lock().expect("the answers").push(began.elapsed());
                    }
                    thread::sleep(Duration::from_millis(100));
                }
                0
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if trouble {
        for client in 0..SLOW_CLIENTS {
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("s{client:03}{number:04x}");
                    let ended = send_slowly(at, &id, &stop);
                    record.line(&format!("slow id={id} ended {ended:?}"));
                    thread::sleep(Duration::from_millis(300));
                }
            });
        }
    }
    let mut not_ready = 0;
    while began.elapsed() < LENGTH {
        let ready = instances[0].is_ready();
        record.line(&format!("ready={ready}"));
        not_ready += usize::from(!ready);
        thread::sleep(Duration::from_secs(1));
    }
    let tried: usize = clients.into_iter().filter_map(|c| c.join().ok()).sum();
    stop.store(true, Ordering::SeqCst);
    let mut times = answered.lock().expect("the answers").clone();
    times.push(Duration::ZERO);
    times.push(LENGTH);
    times.sort();
    let longest = times.windows(2).map(|w| w[1].saturating_sub(w[0])).max().unwrap_or(LENGTH);
    let summary = format!("ordinary_requests={tried} answered={} longest_without_answer_ms={} probes_not_ready={not_ready}", times.len() - 2, longest.as_millis());
    record.line(&summary);
    println!("{summary}");
    Ok(longest > STABLE_WINDOW && not_ready == 0)
}
