//! Two runners lose the path to one machine for some seconds, while clients fetch the same document. No
//! runner crashes, and all other machines reach all of them.

use {
    crate::{
        deployment::{config, request, route, Deployment, Record},
        proxy::Proxy,
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

const MACHINES: usize = 6;
const RUNNERS: usize = 10;
/// Runners that lose the path to the first machine: a share of 0.2.
const CUT_RUNNERS: usize = 2;
const SERVICE: &str = "huvo11a";
/// How long the path is lost, and from when on.
const CUT: Duration = Duration::from_secs(5);
const BEFORE: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(75);
const DOCUMENT: &str = "/puxa403/2f";
/// Clients that fetch the document: of the first machine, and of each other one.
const CLIENTS: [usize; 2] = [40, 2];
/// Clients of each machine that fetch other things.
const OTHERS: usize = 8;
const INTERVAL: Duration = Duration::from_millis(420);
const WORK_MS: u64 = 400;

/// A request: whether it is for the document, its machine, when it was sent, and whether it was served.
struct Sent {
    document: bool,
    machine: usize,
    at: Instant,
    served: bool,
}

pub fn run(folder: &str, trouble: bool) -> End {
    let record = Record::create(folder);
    let mut deployment = Deployment::new(MACHINES, |_| String::new());
    for i in 0..RUNNERS {
        deployment.start_runner(&format!("i-{i}-0"), SERVICE, WORK_MS);
    }
    // The first machine reaches all runners through proxies.
    let proxies: Vec<(SocketPair, Proxy)> = deployment
        .addresses()
        .into_iter()
        .map(|address| {
            let proxy = Proxy::start(address);
            ((address.to_string(), proxy.address.to_string()), proxy)
        })
        .collect();
    deployment.store.set_view(0, proxies.iter().map(|(pair, _)| pair.clone()).collect());
    // Two kinds of request, each with a route of its own.
    let routes = [("r-puxa403", "/puxa403/"), ("r-pule252", "/pule252/")];
    let routes = routes.map(|(name, prefix)| route(name, prefix, SERVICE, true)).join(",");
    deployment.store.put("op/config", &config(7, &routes, &[SERVICE], ""));
    deployment.instances.iter_mut().for_each(|instance| instance.start());
    if !deployment.wait_ready(MACHINES, Duration::from_secs(20)) {
        record.say("the instances were not ready within 20 s");
        return End::NotRun;
    }
    record.say("all instances are ready");
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for instance in &deployment.instances {
        let (machine, front) = (instance.machine, instance.front);
        let documents = CLIENTS[usize::from(machine > 0)];
        for client in 0..documents + OTHERS {
            let (record, sent, stop) = (record.clone(), sent.clone(), stop.clone());
            let document = client < documents;
            clients.push(thread::spawn(move || {
                thread::sleep(INTERVAL * client as u32 / 48);
                let mut number = 0u32;
                while !stop.load(Ordering::Relaxed) {
                    let at = Instant::now();
                    number += 1;
                    let other = format!("/pule252/{machine}{client}{number}");
                    let path = if document { DOCUMENT } else { &other };
                    let (id, answer) =
                        request(front, ("GET", path), "", Duration::from_millis(2_000));
                    let text = match &answer {
                        Ok(m) if m.status() == 200 => "200".to_owned(),
                        Ok(m) => format!("{} {}", m.status(), m.text().trim()),
                        Err(error) => format!("no answer: {error}"),
                    };
                    record.line(&format!(
                        "edge-{machine} request {id} {path} sent {:.3}: {text}",
                        record.at(at)
                    ));
                    let served = text == "200";
                    sent.lock().unwrap().push(Sent { document, machine, at, served });
                    thread::sleep(INTERVAL.saturating_sub(at.elapsed()));
                }
            }));
        }
    }
    let begun = Instant::now();
    thread::sleep(BEFORE);
    if trouble {
        record.say("the first two runners lose the path to edge-0");
        proxies[..CUT_RUNNERS].iter().for_each(|(_, proxy)| proxy.set_cut(true));
        thread::sleep(CUT);
        proxies[..CUT_RUNNERS].iter().for_each(|(_, proxy)| proxy.set_cut(false));
        record.say("the path is back");
    }
    thread::sleep(LENGTH.saturating_sub(begun.elapsed()));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    if !deployment.take_ended_runners(&[Duration::ZERO]).is_empty() {
        record.say("a runner ended by itself");
        return End::NotRun;
    }
    let sent = sent.lock().unwrap();
    let share = |chosen: &dyn Fn(&&Sent) -> bool| {
        let all = sent.iter().filter(chosen).count();
        let served = sent.iter().filter(chosen).filter(|s| s.served).count();
        (all, served, served as f64 / all.max(1) as f64)
    };
    // In touch, and past the bound of a machine whose links were harmed.
    let healed = begun + BEFORE + CUT + Duration::from_secs(3);
    for (name, first) in [("edge-0", true), ("the other machines", false)] {
        let after = share(&|s| s.document && (s.machine == 0) == first && s.at > healed);
        record.say(&format!(
            "later than 3 s after the path was back {name} served the document {} of {} times",
            after.1, after.0
        ));
    }
    let (document, all) = (share(&|s| s.document), share(&|_| true));
    record.say(&format!(
        "served over the whole time: {} of {} requests for the document ({:.3}), {} of all {} ({:.3})",
        document.1, document.0, document.2, all.1, all.0, all.2
    ));
    if deployment.instances.iter_mut().any(|instance| instance.has_ended()) {
        record.say("an instance ended by itself");
        return End::Broken;
    }
    match document.2 < all.2 / 4.0 {
        true => End::Broken,
        false => End::Held,
    }
}

/// Address of a runner, and the one that a machine is told.
type SocketPair = (String, String);
