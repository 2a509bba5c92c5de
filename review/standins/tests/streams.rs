//! Clients that read streams, and resume those that break off.

use {
    crate::{
        deployment::{request_text, Record},
        http::{read_head, Message},
    },
    std::{
        io::{self, BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

/// Path of all streams.
pub const STREAMS: &str = "/lohu930/";
/// Events of a whole stream.
pub const EVENTS: u64 = 30;
/// Time limit of a client, which is the route's timeout too.
pub const TIME_LIMIT: Duration = Duration::from_secs(14);
/// Times that a client takes its stream up again or comes back after a refusal.
const RETRIES: usize = 4;

/// What a client has got of one stream, over all its attempts.
#[derive(Default)]
pub struct Received {
    /// Machine of the first attempt.
    pub machine: usize,
    /// For each event: its id, and the service and version of the runner that made it.
    pub events: Vec<(u64, String)>,
    /// Whether the last attempt ended as complete.
    pub complete: bool,
    /// When the stream was taken up again, and whether with success.
    pub resumed: Vec<(Instant, u16)>,
}

impl Received {
    /// Returns what made the events, each once and in order.
    pub fn makers(&self) -> Vec<&str> {
        let mut makers: Vec<&str> = Vec::new();
        for (_, maker) in &self.events {
            if makers.last() != Some(&maker.as_str()) {
                makers.push(maker);
            }
        }
        makers
    }

    pub fn is_joined(&self) -> bool {
        self.makers().len() > 1
    }
}

/// Reads the stream of one client through the first of `fronts`. When it breaks off, it is taken up again on a
/// new channel through the others, after its last event.
pub fn read_stream(fronts: &[(usize, SocketAddr)], number: usize, record: &Record) -> Received {
    let path = format!("{STREAMS}2f");
    let body = format!("{{\"prompt\":\"itinerary briefing from tour dossier {number}\"}}");
    let began = Instant::now();
    let mut received = Received { machine: fronts[0].0, ..Received::default() };
    let mut first = String::new();
    for (attempt, (machine, front)) in fronts.iter().cycle().take(RETRIES + 1).enumerate() {
        let left = TIME_LIMIT.saturating_sub(began.elapsed());
        let last = received.events.last().map(|(id, _)| *id);
        let mut headers = "Model: m\r\nToken-Count: 120,60\r\n".to_owned();
        if let Some(last) = last {
            headers += &format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n");
        }
        let (id, head) = request_text("POST", &path, body.len(), left);
        if last.is_none() {
            first.clone_from(&id);
        }
        let text = head.trim_end().to_owned() + "\r\n" + &headers + "\r\n" + &body;
        let sent = Instant::now();
        let (status, end) = match read_attempt(*front, &text, left, &mut received) {
            Ok((head, complete)) => {
                received.complete = complete;
                (head.status(), if complete { "whole" } else { "refused" }.to_owned())
            }
            Err((status, error)) => (status, format!("broke off: {error}")),
        };
        if last.is_some() {
            received.resumed.push((sent, status));
        }
        record.line(&format!(
            "edge-{machine} request {id} sent {:.3} after event {}: {status}, {end}; events so far {} of {:?}",
            record.at(sent),
            last.unwrap_or(0),
            received.events.len(),
            received.makers()
        ));
        if received.complete || attempt == RETRIES {
            break;
        }
        // Requesters wait as they are told, but not for longer than a third of the time left.
        thread::sleep(Duration::from_millis(if status == 503 { 350 } else { 20 }));
    }
    received
}

/// Returns the head and whether the answer is a complete stream, or how it broke off.
fn read_attempt(
    front: SocketAddr,
    text: &str,
    limit: Duration,
    received: &mut Received,
) -> Result<(Message, bool), (u16, io::Error)> {
    let failed = |error| (0, error);
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    stream.set_read_timeout(Some(limit.max(Duration::from_millis(1)))).map_err(failed)?;
    stream.write_all(text.as_bytes()).map_err(failed)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).map_err(failed)?;
    let head = head.ok_or_else(|| failed(io::ErrorKind::UnexpectedEof.into()))?;
    if head.status() != 200 {
        return Ok((head, false));
    }
    match read_events(&mut reader, received) {
        Ok(()) => Ok((head, true)),
        Err(error) => Err((200, error)),
    }
}

/// Reads events until the end of the chunked body; an error if it breaks off before.
fn read_events(reader: &mut BufReader<TcpStream>, received: &mut Received) -> io::Result<()> {
    let mut bytes = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size =
            usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        bytes.extend_from_slice(&chunk[..size]);
        while let Some(end) = bytes.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = bytes.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event).into_owned();
            let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
            let id = field("id: ").and_then(|id| id.parse().ok()).unwrap_or(0);
            let maker = field("data: ").unwrap_or("").split(' ').take(2).collect::<Vec<_>>();
            received.events.push((id, maker.join(" ")));
        }
    }
}

/// Counts and records what became of the streams; returns how many are joined of the runs of two services
/// and ended as complete.
pub fn judge(streams: &[Received], record: &Record) -> usize {
    let joined: Vec<&Received> = streams.iter().filter(|s| s.is_joined()).collect();
    for stream in &joined {
        let parts: Vec<String> = stream
            .makers()
            .iter()
            .map(|maker| {
                let ids = stream.events.iter().filter(|(_, m)| m == maker).map(|(id, _)| *id);
                let (first, last) =
                    (ids.clone().min().unwrap_or(0), ids.clone().max().unwrap_or(0));
                format!("{maker}: events {first} to {last}")
            })
            .collect();
        let end = if stream.complete { "complete" } else { "not complete" };
        record.line(&format!(
            "a stream begun at edge-{} is {end}: {}",
            stream.machine,
            parts.join("; ")
        ));
    }
    let gaps = |s: &&Received| s.events.iter().enumerate().any(|(i, (id, _))| *id != i as u64 + 1);
    let resumed = streams.iter().filter(|s| !s.resumed.is_empty()).count();
    record.say(&format!(
        "{} streams, {} whole, {resumed} taken up again, {} with a piece missing or twice, {} joined of two services",
        streams.len(),
        streams.iter().filter(|s| s.complete).count(),
        streams.iter().filter(gaps).count(),
        joined.len()
    ));
    joined.iter().filter(|s| s.complete).count()
}

/// Returns the configuration's route of streams; `services` is its part that names them.
pub fn stream_route(services: &str) -> String {
    format!(
        "{{\"name\":\"r-x73d3zj\",\"host\":\"ficu95.example\",\"path_prefix\":\"{STREAMS}\",\"route_type\":\"streaming\",\"timeout_ms\":{},\"target_latency_ms\":400,\"priority\":1,{services},\"max_attempts\":2,\"session_affinity\":true,\"resumable\":true,\"target_gap_ms\":250,\"public\":true}}",
        TIME_LIMIT.as_millis()
    )
}
