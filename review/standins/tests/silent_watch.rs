//! The store gives one machine no response for a while, in which the config changes.

use {
    crate::{
        deployment::{config, request, route, Deployment, Record},
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

/// Bounds of the site's sheet.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const OUTER_BOUND: Duration = Duration::from_millis(5_000);
/// How long the store gives the machine no response: the site file has up to 9 s.
const SILENCE: Duration = Duration::from_secs(7);
/// The machine that gets no responses.
const CUT: usize = 0;

struct Sent {
    machine: usize,
    at: Instant,
    service: String,
}

pub fn run(folder: &str, trouble: bool) -> End {
    let record = Record::create(folder);
    let mut deployment = Deployment::new(3, |_| String::new());
    let services = ["huvo11a", "wuno96b"];
    for i in 0..2 {
        deployment.start_runner(&format!("i-old-{i}"), services[0], 15);
        deployment.start_runner(&format!("i-new-{i}"), services[1], 15);
    }
    let to = |version, service| {
        config(version, &route("r-puxa403", "/puxa403/", service, true), &services, "")
    };
    deployment.store.put("op/config", &to(7, services[0]));
    deployment.instances.iter_mut().for_each(|instance| instance.start());
    if !deployment.wait_ready(3, Duration::from_secs(15)) {
        record.say("the instances were not ready within 15 s");
        return End::NotRun;
    }
    record.say("all instances are ready");
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = deployment
        .instances
        .iter()
        .map(|instance| {
            let (machine, front) = (instance.machine, instance.front);
            let (record, sent, stop) = (record.clone(), sent.clone(), stop.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let at = Instant::now();
                    let get = ("GET", "/puxa403/2f");
                    let (id, answer) = request(front, get, "", Duration::from_millis(1_000));
                    let text = match &answer {
                        Ok(message) => format!("{} {}", message.status(), message.text().trim()),
                        Err(error) => format!("no answer: {error}"),
                    };
                    let service = text.split_once("service=").map_or("-", |(_, rest)| rest);
                    let service = service.split(' ').next().unwrap_or("-").to_owned();
                    record.line(&format!(
                        "edge-{machine} request {id} sent {:.3}: {text}",
                        record.at(at)
                    ));
                    sent.lock().unwrap().push(Sent { machine, at, service });
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let silence = Instant::now();
    if trouble {
        record.say("the store gives edge-0 no response from now on");
        deployment.store.set_silent(CUT, true);
    }
    thread::sleep(SILENCE / 2);
    let revision = deployment.store.put("op/config", &to(9, services[1]));
    let acknowledged = Instant::now();
    record.say(&format!(
        "the operator moves the route to {}: version 9 acknowledged at revision {revision}",
        services[1]
    ));
    thread::sleep(SILENCE - (acknowledged - silence));
    deployment.store.set_silent(CUT, false);
    let over = Instant::now();
    record.say("the store answers edge-0 again");
    // In touch, and past the bound with its greatest stretch.
    let due = (over + STABLE_WINDOW).max(acknowledged + CONFIG_APPLY + OUTER_BOUND);
    thread::sleep(due + Duration::from_secs(12) - Instant::now());
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let ended = deployment.instances.iter_mut().any(|instance| instance.has_ended());
    let sent = sent.lock().unwrap();
    let mut broken = false;
    for instance in &deployment.instances {
        let judged: Vec<&Sent> =
            sent.iter().filter(|s| s.machine == instance.machine && s.at >= due).collect();
        let stale: Vec<&&Sent> = judged.iter().filter(|s| s.service == services[0]).collect();
        let last = stale.last().map_or(0.0, |s| (s.at - acknowledged).as_secs_f64());
        record.say(&format!(
            "{}: {} requests sent while it was in touch and the bound was over, {} of them run by the old service, the last {last:.1} s after the acknowledgement",
            instance.name, judged.len(), stale.len()
        ));
        if judged.is_empty() || ended {
            return End::NotRun;
        }
        broken |= !stale.is_empty();
    }
    match broken {
        true => End::Broken,
        false => End::Held,
    }
}
