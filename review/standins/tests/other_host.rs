//! A request crashes the runners of its service; later a route of another host leads to another service, and
//! its clients ask for the same path.

use {
    crate::{
        deployment::{config, request, request_to, route, route_of, Deployment, Record},
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

/// Service whose runners serve the path at which those of the other service crash.
pub const SOUND: &str = "wuno96b";
/// Service whose runners crash.
const CRASHING: &str = "huvo11a";
const MACHINES: usize = 3;
/// Host of the route that is added later.
const OTHER_HOST: &str = "bela12.example";
/// "The runner is back after some seconds": one entry for each runner.
const DOWN: [Duration; 3] =
    [Duration::from_millis(2_500), Duration::from_millis(3_000), Duration::from_millis(3_500)];
/// Bound of the site's sheet.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Bound of the site's sheet: nothing happens for longer than that before the requests that are judged.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Requests to the later route that make it count.
const FEWEST: u32 = 20;

/// Requests sent and served.
#[derive(Default)]
struct Count([AtomicU32; 2]);

impl Count {
    fn add(&self, served: bool) {
        self.0[0].fetch_add(1, Ordering::Relaxed);
        self.0[1].fetch_add(u32::from(served), Ordering::Relaxed);
    }

    fn get(&self) -> (u32, u32) {
        (self.0[0].load(Ordering::Relaxed), self.0[1].load(Ordering::Relaxed))
    }
}

pub fn run(folder: &str, trouble: bool) -> End {
    let record = Record::create(folder);
    let mut deployment = Deployment::new(MACHINES, |_| String::new());
    for i in 0..DOWN.len() {
        deployment.start_runner(&format!("i-{i}-0"), CRASHING, 40);
        deployment.start_runner(&format!("i-sound-{i}"), SOUND, 40);
    }
    let services = [CRASHING, SOUND];
    let first = route("r-puxa403", "/puxa403/", CRASHING, true);
    deployment.store.put("op/config", &config(7, &first, &services, ""));
    deployment.instances.iter_mut().for_each(|instance| instance.start());
    if !deployment.wait_ready(MACHINES, Duration::from_secs(15)) {
        record.say("the instances were not ready within 15 s");
        return End::NotRun;
    }
    record.say("all instances are ready");
    let fronts: Vec<_> = deployment.instances.iter().map(|i| i.front).collect();
    let (stop, judged) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let (on_first, on_later): (Arc<Count>, Arc<Count>) = Default::default();
    let mut clients = Vec::new();
    for (machine, front) in fronts.iter().copied().enumerate() {
        let (record, stop, judged) = (record.clone(), stop.clone(), judged.clone());
        let on_first = on_first.clone();
        clients.push(thread::spawn(move || {
            let mut next = 0u32;
            while !stop.load(Ordering::Relaxed) {
                next += 1;
                let path = format!("/puxa403/{machine}{next}");
                let counts = judged.load(Ordering::Relaxed);
                let (id, answer) = request(front, ("GET", &path), "", Duration::from_millis(2_000));
                let status = answer.as_ref().map_or(0, |message| message.status());
                record.line(&format!("edge-{machine} request {id} first route {path}: {status}"));
                if counts {
                    on_first.add(status == 200);
                }
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    let wait = |deployment: &Deployment, time: Duration| {
        let end = Instant::now() + time;
        while Instant::now() < end {
            for (id, at) in deployment.take_ended_runners(&DOWN) {
                let (name, starts) = id.rsplit_once('-').unwrap_or((&id, "0"));
                let next = format!("{name}-{}", starts.parse().unwrap_or(0) + 1);
                record.say(&format!("runner {id} crashed at {:.3}; {next} starts", record.at(at)));
                deployment.start_runner(&next, CRASHING, 40);
            }
            thread::sleep(Duration::from_millis(10));
        }
    };
    wait(&deployment, Duration::from_secs(3));
    for (machine, front) in fronts.iter().enumerate().filter(|_| trouble) {
        let (id, answer) = request(*front, ("GET", POISON), "", Duration::from_millis(2_000));
        let text = answer.map_or_else(|e| e.to_string(), |m| m.status().to_string());
        record.say(&format!("edge-{machine} request {id} first route {POISON}: {text}"));
        wait(&deployment, Duration::from_secs(1));
    }
    wait(&deployment, Duration::from_secs(6));
    let later = route_of(OTHER_HOST, "r-bela12", "/puxa403/", SOUND, true);
    let revision =
        deployment.store.put("op/config", &config(9, &format!("{first},{later}"), &services, ""));
    record.say(&format!(
        "the operator adds a route of {OTHER_HOST} to {SOUND}: version 9 acknowledged at revision {revision}"
    ));
    wait(&deployment, CONFIG_APPLY + STABLE_WINDOW);
    judged.store(true, Ordering::Relaxed);
    for (machine, front) in fronts.iter().copied().enumerate() {
        let (record, stop, on_later) = (record.clone(), stop.clone(), on_later.clone());
        clients.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let get = ("GET", POISON);
                let (id, answer) =
                    request_to(front, OTHER_HOST, get, "", Duration::from_millis(2_000));
                let text = match &answer {
                    Ok(message) => format!("{} {}", message.status(), message.text().trim()),
                    Err(error) => format!("no answer: {error}"),
                };
                record.line(&format!(
                    "edge-{machine} request {id} later route {OTHER_HOST}{POISON}: {text}"
                ));
                on_later.add(answer.is_ok_and(|message| message.status() == 200));
                thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    wait(&deployment, Duration::from_secs(12));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    for (at, runner, id) in deployment.runs() {
        record.line(&format!(
            "runner {runner} began to run {POISON} request {id} at {:.3} and crashed",
            record.at(at)
        ));
    }
    let crashes = deployment.runs().len();
    let ((sent, served), (later_sent, later_served)) = (on_first.get(), on_later.get());
    record.say(&format!(
        "{crashes} crashes; then {served} of {sent} requests on the first route were served, and {later_served} of {later_sent} on the later one"
    ));
    if deployment.instances.iter_mut().any(|instance| instance.has_ended()) {
        record.say("an instance ended by itself");
        return End::Broken;
    }
    if sent == 0 || later_sent < FEWEST {
        return End::NotRun;
    }
    let share = |served: u32, sent: u32| f64::from(served) / f64::from(sent);
    match share(later_served, later_sent) < share(served, sent) / 4.0 {
        true => End::Broken,
        false => End::Held,
    }
}
