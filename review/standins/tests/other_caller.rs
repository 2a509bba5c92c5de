//! The request of one caller crashes each runner that begins to run it, and comes again; other callers ask for
//! the same path, which their requests bear.

use {
    crate::{
        deployment::{config, request, route, Deployment, Record},
        poison::POISON,
        End,
    },
    std::{
        sync::{
            atomic::{AtomicBool, AtomicU32, Ordering},
            Arc,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Tenant whose request crashes runners.
pub const CRASHING: &str = "huka270";
const MACHINES: usize = 3;
const SERVICE: &str = "wuno96c";
/// Keys of the two tenants.
const KEYS: [&str; 2] = ["492cqf75rjvz48wuakn2", "ftimaj3nr26tta828m82"];
/// "The runner is back after some seconds": one entry for each runner.
const DOWN: [Duration; 4] = [
    Duration::from_millis(2_500),
    Duration::from_millis(3_000),
    Duration::from_millis(3_500),
    Duration::from_millis(4_000),
];
/// Bound of the site's sheet.
const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
/// Runs of the request that may begin after that.
const MOST: usize = 3;
/// Time between two arrivals of the request that crashes runners.
const INTERVAL: Duration = Duration::from_millis(9_000);
/// Time between two requests of the other caller at a machine.
const PAUSE: Duration = Duration::from_millis(100);
const LENGTH: Duration = Duration::from_secs(90);

pub fn run(folder: &str, trouble: bool) -> End {
    let record = Record::create(folder);
    // As for a site with tenants.
    let keys = "\"keys\":{\"apply\":3000,\"revoke\":5000,\"strict\":false},";
    let mut deployment = Deployment::new(MACHINES, |_| keys.to_owned());
    for i in 0..DOWN.len() {
        deployment.start_runner(&format!("i-{i}-0"), SERVICE, 40);
    }
    let tenants = format!(
        ",\"tenants\":[{{\"name\":\"{CRASHING}\",\"api_keys\":[\"{}\"]}},{{\"name\":\"puhu251\",\"api_keys\":[\"{}\"]}}]",
        KEYS[0], KEYS[1]
    );
    let route = route("r-puxa403", "/puxa403/", SERVICE, false);
    let route = route.replace("\"max_attempts\":2", "\"max_attempts\":1");
    deployment.store.put("op/config", &config(7, &route, &[SERVICE], &tenants));
    deployment.instances.iter_mut().for_each(|instance| instance.start());
    if !deployment.wait_ready(MACHINES, Duration::from_secs(15)) {
        record.say("the instances were not ready within 15 s");
        return End::NotRun;
    }
    record.say("all instances are ready");
    let fronts: Vec<_> = deployment.instances.iter().map(|i| i.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicU32; 2]> = Arc::default();
    let get = |key: usize| (("GET", POISON), format!("X-Api-Key: {}\r\n", KEYS[key]));
    // Without the others the request is tried alone: OTHERS=0 shows what happens then.
    let others = std::env::var("OTHERS").map_or(true, |value| value != "0");
    let clients: Vec<_> = fronts
        .iter()
        .copied()
        .enumerate()
        .filter(|_| others)
        .map(|(machine, front)| {
            let (record, stop, counts) = (record.clone(), stop.clone(), counts.clone());
            let (call, headers) = get(1);
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let (id, answer) = request(front, call, &headers, Duration::from_millis(2_000));
                    let status = answer.as_ref().map_or(0, |message| message.status());
                    record.line(&format!("edge-{machine} request {id} of puhu251: {status}"));
                    counts[0].fetch_add(1, Ordering::Relaxed);
                    counts[1].fetch_add(u32::from(status == 200), Ordering::Relaxed);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    let mut senders = Vec::new();
    let (begun, mut number) = (Instant::now(), 0);
    let mut due = begun + Duration::from_secs(3);
    while begun.elapsed() < LENGTH {
        for (id, at) in deployment.take_ended_runners(&DOWN) {
            let (name, starts) = id.rsplit_once('-').unwrap_or((&id, "0"));
            let next = format!("{name}-{}", starts.parse().unwrap_or(0) + 1);
            record.line(&format!("runner {id} crashed at {:.3}; {next} starts", record.at(at)));
            deployment.start_runner(&next, SERVICE, 40);
        }
        if trouble && Instant::now() >= due {
            due += INTERVAL;
            let (machine, record) = (number % MACHINES, record.clone());
            let front = fronts[machine];
            number += 1;
            let (call, headers) = get(0);
            senders.push(thread::spawn(move || {
                let (id, answer) = request(front, call, &headers, Duration::from_millis(2_000));
                let text = answer.map_or_else(
                    |e| e.to_string(),
                    |m| format!("{} {}", m.status(), m.text().trim()),
                );
                record.line(&format!("edge-{machine} request {id} of {CRASHING}: {text}"));
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
    let late = match runs.get(2) {
        Some((third, ..)) => runs.iter().filter(|(at, ..)| *at > *third + STABLE_WINDOW).count(),
        None => 0,
    };
    let [sent, served] = [0, 1].map(|i: usize| counts[i].load(Ordering::Relaxed));
    record.say(&format!(
        "the request came {number} times and crashed runners {} times, {late} of them later than 4 s after the third; {served} of {sent} requests of the other caller were served",
        runs.len()
    ));
    if deployment.instances.iter_mut().any(|instance| instance.has_ended()) {
        record.say("an instance ended by itself");
        return End::Broken;
    }
    match late > MOST {
        true => End::Broken,
        false => End::Held,
    }
}
