//! Clients that read their streams slowly.

use crate::{
    http::{call, read_head},
    instance::{await_ready, Instance},
    record::Record,
    runner::{Answers, Runner},
    store::Store,
};
use std::{
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

fn resident_mb(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
    let kb: f64 = line.split_whitespace().nth(1).and_then(|v| v.parse().ok()).unwrap_or(0.0);
    kb * 1024.0 / 1e6
}

pub fn play(record: &Record, folder: &Path, trouble: bool) -> Result<bool, String> {
    let env = |n: &str, d: usize| std::env::var(n).ok().and_then(|v| v.parse().ok()).unwrap_or(d);
    let (clients, filler) = (env("CLIENTS", 400), env("FILLER", 30_000));
    let (store, address) = Store::start();
    store.write("op/config", r#"{"version":1,"routes":[{"name":"briefs","host":"site.example","path_prefix":"/brief/","route_type":"streaming","timeout_ms":20000,"target_latency_ms":400,"priority":1,"service":"guide-one","max_attempts":2,"session_affinity":true,"resumable":true,"target_gap_ms":200}],"services":[{"name":"guide-one","health_path":"/healthz","max_connections":290,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#);
    for i in 0..9 {
        let answers = Answers { events: 400, gap: Duration::from_millis(5), filler };
        Runner::start(&store, record, &format!("i-{i}"), "guide-one", "v1", "bergen-hall", answers);
    }
    let mut instances = vec![Instance::start(folder, "edge-0", "bergen-hall", address, 260)];
    if !await_ready(&instances) {
        return Err("not ready".into());
    }
    thread::sleep(Duration::from_secs(6));
    let at: SocketAddr = instances[0].callers;
    let stop = Arc::new(AtomicBool::new(false));
    let statuses = Arc::new(AtomicUsize::new(0));
    for i in 0..clients {
        let (stop, statuses) = (stop.clone(), statuses.clone());
        thread::spawn(move || -> std::io::Result<()> {
            let mut stream = TcpStream::connect(at)?;
            let head = format!("POST /brief/{i} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: s{i:06x}\r\nContent-Length: 0\r\nDeadline-Ms: 20000\r\n\r\n");
            stream.write_all(head.as_bytes())?;
            let mut reader = BufReader::with_capacity(1024, stream);
            let answer = read_head(&mut reader)?;
            if answer.status() == 200 {
                statuses.fetch_add(1, Ordering::SeqCst);
            }
            let mut buf = [0u8; 1024];
            while !stop.load(Ordering::SeqCst) {
                if trouble {
                    thread::sleep(Duration::from_millis(200));
                }
                if reader.read(&mut buf)? == 0 {
                    return Ok(());
                }
            }
            Ok(())
        });
    }
    let began = Instant::now();
    let mut peak = 0.0f64;
    let mut ended = false;
    while began.elapsed() < Duration::from_secs(15) {
        thread::sleep(Duration::from_millis(250));
        let now = resident_mb(instances[0].pid());
        peak = peak.max(now);
        ended |= instances[0].has_ended();
        record.line(&format!("memory={now:.0} MB streaming={}", statuses.load(Ordering::SeqCst)));
    }
    let probe = call(at, "GET /none", &[("Host", "site.example".into())], b"", Duration::from_secs(2));
    println!("peak={peak:.0} MB ended={ended} streaming={} probe={:?}", statuses.load(Ordering::SeqCst), probe.map(|p| p.status()));
    stop.store(true, Ordering::SeqCst);
    Ok(peak > 260.0 || ended)
}
