//! Stand-in of a runner of a plain service; a process of its own, so that a kill ends it.

use {
    crate::{
        apart::DOCUMENT,
        deployment::unix_ms,
        http::{read_head, response, Message},
        other_caller::CRASHING,
        other_host::SOUND,
        poison::POISON,
        streams::{EVENTS, STREAMS},
        uploads::SLOW,
    },
    std::{
        fs::File,
        io::{BufReader, Read, Write},
        net::{TcpListener, TcpStream},
        sync::atomic::{AtomicU32, Ordering},
        thread,
        time::Duration,
    },
};

static RUNNING: AtomicU32 = AtomicU32::new(0);

/// Arguments: address, id, service, time of the start in Unix milliseconds, work in milliseconds (of a
/// stream: for each event), the file in which the runner notes some requests, and its software version.
pub fn run(args: &[String]) {
    let listener = TcpListener::bind(&args[0]).expect("the runner's address is free");
    for stream in listener.incoming().flatten() {
        let args = args.to_vec();
        thread::spawn(move || serve(stream, &args));
    }
}

fn serve(stream: TcpStream, args: &[String]) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_head(&mut reader) {
        if !read_body(&request, &mut reader, args) {
            return;
        }
        if request.path().starts_with(STREAMS) && is_expected(&request, args) {
            if send_stream(&request, &mut writer, args).is_err() {
                return;
            }
            continue;
        }
        if writer.write_all(answer(&request, args).as_bytes()).is_err() {
            return;
        }
    }
}

/// Returns whether this runner is the one that the request names, if it names one.
fn is_expected(request: &Message, args: &[String]) -> bool {
    request.header("expect-instance").is_none_or(|expected| expected == args[1])
}

/// Sends a stream of events after the last one that the request names. An error says that the channel was
/// closed, which ends the run.
fn send_stream(request: &Message, writer: &mut TcpStream, args: &[String]) -> std::io::Result<()> {
    let [_, id, service, _, work, _, version] = args else { return Ok(()) };
    let asked = request.header("request-id").unwrap_or("");
    let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    note(request, args);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {asked}\r\nResponse-Seal: seal.{asked}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for event in after + 1..=EVENTS {
        thread::sleep(Duration::from_millis(work.parse().unwrap_or(50)));
        let text = format!("id: {event}\ndata: {service} {version} {id} part {event}\n\n");
        writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    writer.write_all(b"0\r\n\r\n")
}

/// Reads the body of a request, slowly on one path; returns whether it is whole.
fn read_body(request: &Message, reader: &mut BufReader<TcpStream>, args: &[String]) -> bool {
    let slow = request.path() == SLOW;
    if slow {
        note(request, args);
    }
    let mut left = request.length();
    let mut part = vec![0; 64 << 10];
    while left > 0 {
        let size = left.min(part.len());
        if reader.read_exact(&mut part[..size]).is_err() {
            return false;
        }
        left -= size;
        if slow {
            thread::sleep(Duration::from_millis(60));
        }
    }
    true
}

/// Notes that a request has reached this runner.
fn note(request: &Message, args: &[String]) {
    let [_, id, _, _, _, notes, _] = args else { return };
    let asked = request.header("request-id").unwrap_or("");
    let text = format!("{} {id} {asked}\n", unix_ms());
    let file = File::options().create(true).append(true).open(notes);
    let _ = file.and_then(|mut file| file.write_all(text.as_bytes()));
}

fn answer(request: &Message, args: &[String]) -> String {
    let [_, id, service, born, work, ..] = args else { return response(500, &[], "") };
    let load = |running: u32| format!("{running},0,16");
    match request.path() {
        "/healthz" => {
            let load = load(RUNNING.load(Ordering::Relaxed));
            return response(200, &[("Instance-Id", id), ("Instance-Load", &load)], "");
        }
        "/v1/report" => {
            let body = format!(
                "{{\"born\":{born},\"models\":[],\"busy\":false,\"seq_no\":0,\"waiting\":0,\"running\":0}}"
            );
            return response(200, &[("Content-Type", "application/json")], &body);
        }
        _ => {}
    }
    let asked = request.header("request-id").unwrap_or("");
    if request.header("expect-instance").is_some_and(|expected| expected != id) {
        return response(421, &[("Request-Id", asked), ("Instance-Id", id)], "");
    }
    // Where callers are named, only the requests of one of them crash it.
    let crashing = request.header("tenant").is_none_or(|tenant| tenant == CRASHING);
    if request.path() == POISON && service != SOUND && crashing {
        note(request, args);
        std::process::abort();
    }
    if request.path() == DOCUMENT {
        note(request, args);
    }
    let load = load(RUNNING.fetch_add(1, Ordering::Relaxed) + 1);
    thread::sleep(Duration::from_millis(work.parse().unwrap_or(50)));
    RUNNING.fetch_sub(1, Ordering::Relaxed);
    let tenant = request.header("tenant").unwrap_or("-");
    let body = format!("service={service} runner={id} path={} tenant={tenant}\n", request.path());
    let seal = format!("seal.{asked}.{}", body.len());
    let headers = [("Request-Id", asked), ("Response-Seal", &seal), ("Instance-Load", &load)];
    response(200, &headers, &body)
}
