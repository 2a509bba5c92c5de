//! The request of one tenant crashes the runners that run it; another tenant asks for the same path, which its
//! own requests bear.

use {
    crate::{
        deployment::{config, request, route, Deployment, Record},
        poison::POISON,
        End,
    },
    std::{
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Tenant whose request crashes runners.
pub const CRASHING: &str = "huka270";
/// The tenants and their keys: the second one asks for the same path, the third one for others.
const TENANTS: [(&str, &str); 3] = [
    (CRASHING, "492cqf75rjvz48wuakn2"),
    ("puhu251", "ftimaj3nr26tta828m82"),
    ("toho112", "8wq3n5kz2vtd6yb7pxr4"),
];
const MACHINES: usize = 3;
const SERVICE: &str = "wuno96c";
/// "The runner is back after some seconds": one entry for each runner.
const DOWN: [Duration; 4] = [
    Duration::from_millis(2_500),
    Duration::from_millis(3_000),
    Duration::from_millis(3_500),
    Duration::from_millis(4_000),
];
/// When the request that crashes runners comes first, and the time between its arrivals.
const FIRST: Duration = Duration::from_secs(5);
const INTERVAL: Duration = Duration::from_secs(5);
/// Clients of each machine, by tenant but the first.
const CLIENTS: [usize; 2] = [2, 4];
/// Time between two requests of a client.
const PAUSE: Duration = Duration::from_millis(250);
const LENGTH: Duration = Duration::from_secs(60);

/// A request: its tenant, when it was sent, and whether it was served.
struct Sent {
    tenant: usize,
    at: Instant,
    served: bool,
}

pub fn run(folder: &str, trouble: bool) -> End {
    let record = Record::create(folder);
    // As for a site with tenants.
    let keys = "\"keys\":{\"apply\":3000,\"revoke\":5000,\"strict\":false},";
    let mut deployment = Deployment::new(MACHINES, |_| keys.to_owned());
    for i in 0..DOWN.len() {
        deployment.start_runner(&format!("i-{i}-0"), SERVICE, 40);
    }
    let tenants: Vec<String> = TENANTS
        .iter()
        .map(|(name, key)| format!("{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"]}}"))
        .collect();
    let tenants = format!(",\"tenants\":[{}]", tenants.join(","));
    let route = route("r-puxa403", "/puxa403/", SERVICE, false);
    deployment.store.put("op/config", &config(7, &route, &[SERVICE], &tenants));
    deployment.instances.iter_mut().for_each(|instance| instance.start());
    if !deployment.wait_ready(MACHINES, Duration::from_secs(15)) {
        record.say("the instances were not ready within 15 s");
        return End::NotRun;
    }
    record.say("all instances are ready");
    let fronts: Vec<_> = deployment.instances.iter().map(|i| i.front).collect();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (machine, front) in fronts.iter().copied().enumerate() {
        for client in 0..CLIENTS[0] + CLIENTS[1] {
            let (record, sent, stop) = (record.clone(), sent.clone(), stop.clone());
            let tenant = if client < CLIENTS[0] { 1 } else { 2 };
            clients.push(thread::spawn(move || {
                let mut number = 0u32;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let other = format!("/puxa403/{machine}{client}{number}");
                    let path = if tenant == 1 { POISON } else { &other };
                    let at = Instant::now();
                    let text = send(front, tenant, path, machine, &record);
                    let served = text.starts_with("200");
                    sent.lock().unwrap().push(Sent { tenant, at, served });
                    thread::sleep(PAUSE);
                }
            }));
        }
    }
    let begun = Instant::now();
    let (mut number, mut due) = (0, begun + FIRST);
    let mut senders = Vec::new();
    while begun.elapsed() < LENGTH {
        for (id, at) in deployment.take_ended_runners(&DOWN) {
            let (name, starts) = id.rsplit_once('-').unwrap_or((&id, "0"));
            let next = format!("{name}-{}", starts.parse().unwrap_or(0) + 1);
            record.say(&format!("runner {id} crashed at {:.3}; {next} starts", record.at(at)));
            deployment.start_runner(&next, SERVICE, 40);
        }
        if trouble && Instant::now() >= due {
            due += INTERVAL;
            let (machine, record) = (number % MACHINES, record.clone());
            let front = fronts[machine];
            number += 1;
            senders.push(thread::spawn(move || {
                let text = send(front, 0, POISON, machine, &record);
                record.say(&format!("edge-{machine} the request of {CRASHING}: {text}"));
            }));
        }
        thread::sleep(Duration::from_millis(10));
    }
    senders.into_iter().for_each(|sender| drop(sender.join()));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let runs = deployment.runs();
    for (at, runner, id) in &runs {
        record.line(&format!(
            "runner {runner} began to run request {id} of {CRASHING} at {:.3} and crashed",
            record.at(*at)
        ));
    }
    let sent = sent.lock().unwrap();
    let share = |chosen: &dyn Fn(&&Sent) -> bool| {
        let all = sent.iter().filter(chosen).count();
        let served = sent.iter().filter(chosen).filter(|s| s.served).count();
        (all, served, served as f64 / all.max(1) as f64)
    };
    let (other, all) = (share(&|s| s.tenant == 1), share(&|_| true));
    if let Some((last, ..)) = runs.last() {
        let after = share(&|s| s.tenant == 1 && s.at > *last);
        record.say(&format!(
            "{} runners crashed, the last at {:.3}; after that {} of {} requests of {} were served",
            runs.len(),
            record.at(*last),
            after.1,
            after.0,
            TENANTS[1].0
        ));
    }
    record.say(&format!(
        "served over the whole time: {} of {} requests of {} ({:.3}), {} of all {} ({:.3})",
        other.1, other.0, TENANTS[1].0, other.2, all.1, all.0, all.2
    ));
    if deployment.instances.iter_mut().any(|instance| instance.has_ended()) {
        record.say("an instance ended by itself");
        return End::Broken;
    }
    match other.2 < all.2 / 4.0 {
        true => End::Broken,
        false => End::Held,
    }
}

/// Sends a request of a tenant and records it; returns its status and body.
fn send(
    front: std::net::SocketAddr,
    tenant: usize,
    path: &str,
    machine: usize,
    record: &Record,
) -> String {
    let (name, key) = TENANTS[tenant];
    let headers = format!("X-Api-Key: {key}\r\n");
    let (id, answer) = request(front, ("GET", path), &headers, Duration::from_millis(2_000));
    let text = match answer {
        Ok(message) => format!("{} {}", message.status(), message.text().trim()),
        Err(error) => format!("no answer: {error}"),
    };
    record.line(&format!("edge-{machine} request {id} of {name} {path}: {text}"));
    text
}
