//! A request that crashes each runner that begins to run it comes again and again.

use {
    crate::{
        deployment::{config, request, route, Deployment, Record},
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

/// "The runner is back after some seconds": one entry for each runner.
const DOWN: [Duration; 2] = [Duration::from_millis(2_500), Duration::from_millis(3_500)];
/// Bound of the site's sheet.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Retries that may reach runners after that.
const MOST: usize = 3;
/// Time between two arrivals of the request.
const INTERVAL: Duration = Duration::from_millis(150);
const LENGTH: Duration = Duration::from_secs(45);
/// Path of the request that crashes runners.
pub const POISON: &str = "/puxa403/ff";

pub fn run(folder: &str, trouble: bool) -> End {
    let record = Record::create(folder);
    let mut deployment = Deployment::new(3, |_| String::new());
    for i in 0..DOWN.len() {
        deployment.start_runner(&format!("i-{i}-0"), "huvo11a", 60);
    }
    let route = route("r-puxa403", "/puxa403/", "huvo11a", true);
    deployment.store.put("op/config", &config(7, &route, &["huvo11a"], ""));
    deployment.instances.iter_mut().for_each(|instance| instance.start());
    if !deployment.wait_ready(3, Duration::from_secs(15)) {
        record.say("the instances were not ready within 15 s");
        return End::NotRun;
    }
    record.say("all instances are ready");
    let fronts: Vec<_> = deployment.instances.iter().map(|i| i.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let served: Arc<[AtomicU32; 2]> = Arc::default();
    let clients: Vec<_> = (0..3)
        .map(|client: usize| {
            let (front, record, stop) = (fronts[client], record.clone(), stop.clone());
            let served = served.clone();
            thread::spawn(move || {
                let mut next = 0u32;
                while !stop.load(Ordering::Relaxed) {
                    next += 1;
                    let path = format!("/puxa403/{client}{next}");
                    let (id, answer) =
                        request(front, ("GET", &path), "", Duration::from_millis(2_000));
                    let status = answer.as_ref().map_or(0, |message| message.status());
                    record.line(&format!("client {client} request {id} {path}: {status}"));
                    served[0].fetch_add(u32::from(status == 200), Ordering::Relaxed);
                    served[1].fetch_add(1, Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    let begun = Instant::now();
    let mut senders = Vec::new();
    let mut number = 0;
    let mut due = begun;
    while begun.elapsed() < LENGTH {
        for (id, at) in deployment.take_ended_runners(&DOWN) {
            record.line(&format!(
                "runner {id} crashed at {:.3}; its successor starts",
                record.at(at)
            ));
            let (name, starts) = id.rsplit_once('-').unwrap_or((&id, "0"));
            let starts: u32 = starts.parse().unwrap_or(0);
            deployment.start_runner(&format!("{name}-{}", starts + 1), "huvo11a", 60);
        }
        if trouble && Instant::now() >= due {
            due += INTERVAL;
            let (front, machine, record) = (fronts[number % 3], number % 3, record.clone());
            number += 1;
            senders.push(thread::spawn(move || {
                let (id, answer) =
                    request(front, ("GET", POISON), "", Duration::from_millis(2_000));
                let text = answer.map_or_else(|e| e.to_string(), |m| m.status().to_string());
                record.line(&format!("edge-{machine} {POISON} request {id}: {text}"));
            }));
        }
        thread::sleep(Duration::from_millis(10));
    }
    senders.into_iter().for_each(|sender| drop(sender.join()));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let ended = deployment.instances.iter_mut().any(|instance| instance.has_ended());
    let runs = deployment.runs();
    for (at, runner, id) in &runs {
        record.line(&format!(
            "runner {runner} begins to run {POISON} request {id} at {:.3} and crashes",
            record.at(*at)
        ));
    }
    let [good, all] = [0, 1].map(|i| served[i].load(Ordering::Relaxed));
    let late = match runs.get(2) {
        Some((third, ..)) => runs.iter().filter(|(at, ..)| *at > *third + STABLE_WINDOW).count(),
        None => 0,
    };
    record.say(&format!(
        "the request came {number} times and crashed runners {} times, {late} of them later than 3 s after the third; {good} of {all} sound requests were served",
        runs.len()
    ));
    match (ended, late > MOST) {
        (true, _) => End::NotRun,
        (false, true) => End::Broken,
        (false, false) => End::Held,
    }
}
