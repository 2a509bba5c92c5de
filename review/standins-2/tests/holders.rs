//! Orders around a planned stop of the process that gives them.

use crate::{
    http::{respond, serve, Message},
    instance::{await_ready, Instance},
    json::Json,
    record::Record,
    store::Store,
};
use std::{
    io,
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["bergen-hall", "flam-hall", "alesund-hall"];
const INSTANCES: usize = 6;
/// Runners of the model; the first decodes and the others prefill, so that one is ordered to decode.
const RUNNERS: usize = 4;
/// `lease_ms` of the site.
const LEASE: Duration = Duration::from_millis(3_000);
/// Time after which an order without an answer is carried out; the pages say 2 to 12 s.
const LATE: Duration = Duration::from_secs(8);
/// Time within which the first order comes.
const FIRST_ORDER: Duration = Duration::from_secs(30);
/// Time for which orders after the planned stop are recorded.
const AFTER: Duration = Duration::from_secs(12);

struct Order {
    at: Instant,
    runner: usize,
    machine: String,
    number: u64,
}

#[derive(Clone)]
struct Model(Arc<Mutex<State>>);

struct State {
    phases: Vec<&'static str>,
    accepted: Vec<u64>,
    orders: Vec<Order>,
}

impl Model {
    fn with<T>(&self, use_state: impl FnOnce(&mut State) -> T) -> T {
        use_state(&mut self.0.lock().expect("the runners' state"))
    }

    fn check_in(&self, store: &Store, runner: usize, address: SocketAddr) {
        let (phase, accepted) = self.with(|s| (s.phases[runner], s.accepted[runner]));
        let zone = ZONES[runner % ZONES.len()];
        store.write(
            &format!("servers/i-{runner}"),
            &format!("{{\"service\":\"guide\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":48,\"state\":\"ready\",\"cold_remaining_ms\":0,\"phase\":\"{phase}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq_no\":{accepted}}}"),
        );
    }

    fn carry_out(&self, runner: usize, body: &Json) -> bool {
        self.with(|s| {
            let expected = body.get("expected");
            if *expected != Json::Null && expected.number() != s.accepted[runner] {
                return false;
            }
            s.accepted[runner] += 1;
            s.phases[runner] =
                if body.get("phase").text() == "prefill" { "prefill" } else { "decode" };
            true
        })
    }

    fn answer(
        &self,
        runner: usize,
        record: &Record,
        trouble: bool,
        request: &Message,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let json = [("Content-Type", "application/json")];
        if request.header("expect-instance").is_some_and(|id| id != format!("i-{runner}")) {
            return respond(stream, 421, &[], b"");
        }
        match (request.word(0), request.path()) {
            ("GET", "/v1/report") => {
                let (phase, accepted) = self.with(|s| (s.phases[runner], s.accepted[runner]));
                let body = format!("{{\"phase\":\"{phase}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq_no\":{accepted},\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":591124,\"kv_handles\":0}}");
                respond(stream, 200, &json, body.as_bytes())
            }
            ("POST", "/v1/order") => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let body = Json::parse(&text).unwrap_or(Json::Null);
                let holder = body.get("holder").text().to_owned();
                let machine = holder.split('#').next().unwrap_or("").to_owned();
                let number = body.get("fencing_token").number();
                let first = self.with(|s| {
                    s.orders.push(Order { at: Instant::now(), runner, machine, number });
                    s.orders.len() == 1
                });
                record.line(&format!("order to=i-{runner} {text}"));
                if trouble && first {
                    thread::sleep(LATE);
                    let done = self.carry_out(runner, &body);
                    record.line(&format!(
                        "order number={number} to=i-{runner} carried out late: {done}"
                    ));
                    return Err(io::Error::other("the order gets no answer"));
                }
                let status = if self.carry_out(runner, &body) { 202 } else { 409 };
                record.line(&format!("order number={number} to=i-{runner} answered {status}"));
                respond(stream, status, &json, b"{}")
            }
            ("GET", "/healthz") => {
                respond(stream, 200, &[("Instance-Id", &format!("i-{runner}"))], b"")
            }
            _ => respond(stream, 503, &[("Not-Executed", "1")], b""),
        }
    }
}

fn await_until(limit: Duration, mut reached: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if reached() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

/// The first order stays without an answer, and its holder's machine gets SIGTERM.
pub fn play(record: &Record, folder: &Path, trouble: bool) -> Result<bool, String> {
    let (store, address) = Store::start();
    store.write("op/config", r#"{"version":1,"routes":[{"name":"briefs","host":"site.example","path_prefix":"/brief/","route_type":"streaming","timeout_ms":5000,"target_latency_ms":400,"priority":1,"service":"guide","max_attempts":2,"session_affinity":true,"resumable":true,"target_gap_ms":200}],"services":[{"name":"guide","health_path":"/healthz","max_connections":290,"protocol":"h1","tls":false,"engine":{"slots":48,"kv_tokens":591124,"kv_token_bytes":18432,"link_mbps":370000.0,"moves":true,"backups":true,"stride":10,"most":12,"handle_ttl_s":5.0,"switch_time_s":3.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#);
    let phases = (0..RUNNERS).map(|i| if i == 0 { "decode" } else { "prefill" }).collect();
    let state = State { phases, accepted: vec![0; RUNNERS], orders: Vec::new() };
    let model = Model(Arc::new(Mutex::new(state)));
    for runner in 0..RUNNERS {
        let (serving, written) = (model.clone(), record.clone());
        let at = serve(move |request, stream| {
            serving.answer(runner, &written, trouble, request, stream)
        });
        let (model, store) = (model.clone(), store.clone());
        model.check_in(&store, runner, at);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(1_200));
            model.check_in(&store, runner, at);
        });
    }
    let start =
        |i: usize| Instance::start(folder, &format!("edge-{i}"), ZONES[i % 3], address, 260);
    let mut instances: Vec<Instance> = (0..INSTANCES).map(start).collect();
    if !await_ready(&instances) {
        return Err("the instances are not ready".into());
    }
    if !await_until(FIRST_ORDER, || model.with(|s| !s.orders.is_empty())) {
        return Err("no order was given".into());
    }
    let giver = model.with(|s| s.orders[0].machine.clone());
    if trouble {
        let Some(holder) = instances.iter_mut().find(|i| i.name == giver) else {
            return Err(format!("the holder {giver:?} is no instance"));
        };
        record.line(&format!("SIGTERM to {giver}"));
        holder.terminate();
    }
    thread::sleep(AFTER);
    let shortest = model.with(|s| {
        let turns = s
            .orders
            .iter()
            .enumerate()
            .flat_map(|(i, a)| s.orders[i + 1..].iter().map(move |b| (a, b)));
        let turns = turns.filter(|(a, b)| a.runner == b.runner && a.machine != b.machine);
        turns.map(|(a, b)| (b.at - a.at, a.number, b.number)).min()
    });
    let summary = match shortest {
        Some((gap, a, b)) => format!(
            "orders {a} and {b} of two holders to one runner are {} ms apart",
            gap.as_millis()
        ),
        None => "no runner got orders of two holders".into(),
    };
    record.line(&summary);
    println!("{summary}");
    Ok(shortest.is_some_and(|(gap, ..)| gap < LEASE))
}
