//! Requesters send large bodies through one machine while runners read slowly.

use {
    crate::{
        deployment::{config, request_text, route, Deployment, Record},
        http::read_message,
        End,
    },
    std::{
        io::{BufReader, Write},
        net::{SocketAddr, TcpStream},
        sync::{Arc, Barrier, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// `memory_mb` of a machine: a process that exceeds it is killed by the platform.
const MEMORY_MB: u64 = 260;
/// `max_body_bytes` of the config.
const BODY: usize = 4_194_304;
const REQUESTERS: usize = 80;
/// Time between the sends of two requesters.
const STAGGER: Duration = Duration::from_millis(25);
const DEADLINE: Duration = Duration::from_millis(5_000);

/// Path of the requests whose bodies runners read slowly.
pub const SLOW: &str = "/puxa403/slow";

fn exchange(
    stream: &TcpStream,
    reader: &mut BufReader<TcpStream>,
    head: &str,
    body: &[u8],
) -> String {
    let mut writer = stream;
    let sent = writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(body));
    if let Err(error) = sent {
        return format!("not sent: {error}");
    }
    match read_message(reader) {
        Ok(Some(message)) => message.status().to_string(),
        Ok(None) => "closed without an answer".to_owned(),
        Err(error) => format!("closed without an answer: {error}"),
    }
}

fn connect(at: SocketAddr) -> Option<(TcpStream, BufReader<TcpStream>)> {
    let stream = TcpStream::connect(at).ok()?;
    let _ = stream.set_read_timeout(Some(DEADLINE + Duration::from_secs(2)));
    let reader = BufReader::new(stream.try_clone().ok()?);
    Some((stream, reader))
}

pub fn run(folder: &str, trouble: bool) -> End {
    let record = Record::create(folder);
    let mut deployment = Deployment::new(3, |_| String::new());
    for i in 0..3 {
        deployment.start_runner(&format!("i-{i}"), "huvo11a", 15);
    }
    let route = route("r-puxa403", "/puxa403/", "huvo11a", true)
        .replace("\"timeout_ms\":2000", "\"timeout_ms\":5000");
    deployment.store.put("op/config", &config(7, &route, &["huvo11a"], ""));
    deployment.instances.iter_mut().for_each(|instance| instance.start());
    if !deployment.wait_ready(3, Duration::from_secs(15)) {
        record.say("the instances were not ready within 15 s");
        return End::NotRun;
    }
    let front = deployment.instances[0].front;
    let barrier = Arc::new(Barrier::new(REQUESTERS));
    let ends: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let size = if trouble { BODY } else { 17_000 };
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|number| {
            let (record, ends, barrier) = (record.clone(), ends.clone(), barrier.clone());
            thread::spawn(move || {
                let Some((stream, mut reader)) = connect(front) else { return };
                let (id, head) = request_text("GET", "/puxa403/2f", 0, DEADLINE);
                let first = exchange(&stream, &mut reader, &head, &[]);
                record.line(&format!("requester {number} request {id}: {first}"));
                barrier.wait();
                thread::sleep(STAGGER * number as u32);
                let (id, head) = request_text("POST", SLOW, size, DEADLINE);
                let sent = Instant::now();
                let end = exchange(&stream, &mut reader, &head, &vec![b'x'; size]);
                record.line(&format!(
                    "requester {number} request {id} with {size} bytes on the same channel, sent {:.3}: {end}",
                    record.at(sent)
                ));
                ends.lock().unwrap().push((id, end));
            })
        })
        .collect();
    let mut most = 0;
    let mut killed = false;
    let end = Instant::now() + DEADLINE + Duration::from_secs(3);
    while Instant::now() < end {
        let resident = deployment.instances[0].resident_mb();
        most = most.max(resident);
        if resident > MEMORY_MB && !killed {
            record.say(&format!("edge-0 holds {resident} MB: the platform kills it"));
            deployment.instances[0].kill();
            killed = true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    requesters.into_iter().for_each(|requester| drop(requester.join()));
    let ends = ends.lock().unwrap();
    let runs = deployment.runs();
    for (at, runner, id) in &runs {
        record.line(&format!("request {id} reached runner {runner} at {:.3}", record.at(*at)));
    }
    let passed_on = |id: &String| runs.iter().any(|(_, _, other)| other == id);
    let closed = ends.iter().filter(|(_, end)| end.starts_with("closed")).count();
    let lost = ends.iter().filter(|(id, end)| end.starts_with("closed") && passed_on(id)).count();
    record.say(&format!(
        "edge-0 held {most} MB at most; {closed} of {} requests on kept channels were closed without an answer, {lost} of them had been passed on to a runner",
        ends.len()
    ));
    if ends.len() < REQUESTERS {
        return End::NotRun;
    }
    match lost > 3 {
        true => End::Broken,
        false => End::Held,
    }
}
