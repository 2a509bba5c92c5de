//! Planned stops under load cut no request.

mod common;

use {
    lentil_core::ids::Revision,
    lentil_fakes::{
        client::{Balancer, Caller, Ended, Prompt},
        engine::{answer, EngineSetup},
        site::{eventually, Instance, Process, Site, SiteSetup, CAMERA},
    },
    lentil_node::{app::App, ports::ListState},
    nix::sys::signal::Signal,
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
};

/// An answer takes about 4 s, longer than an instance lingers before it drains.
const TOKENS: u32 = 260;

/// Instances that the balancer finds ready.
#[derive(Default)]
struct Ready(Mutex<Vec<SocketAddr>>);

impl Balancer for Ready {
    fn pick(&self) -> SocketAddr {
        let ready = self.0.lock().unwrap();
        ready[rand::random::<usize>() % ready.len()]
    }
}

/// Whole requests without any resend: a broken connection counts as cut.
async fn load(balancer: Arc<Ready>, stop: Arc<AtomicBool>) -> Vec<Ended> {
    let mut tasks = JoinSet::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let prompt = format!("report {number}");
        let ask =
            Prompt { model: "groot".into(), prompt, max_tokens: TOKENS, stream: number % 2 == 0 };
        let at = balancer.pick();
        tasks.spawn(async move { once(at, &ask).await });
        sleep(Duration::from_millis(60)).await;
    }
    tasks.join_all().await
}

async fn once(at: SocketAddr, ask: &Prompt) -> Ended {
    let caller = Caller::new(CAMERA);
    let want = answer(&ask.prompt, "", TOKENS);
    if ask.stream {
        use lentil_fakes::client::Opened;
        let Ok(Opened::Events(mut events)) = caller.stream(at, ask).await else {
            return Ended::Broken("not begun".into());
        };
        let mut text = String::new();
        while let Some(event) = events.next().await {
            if event.done() && text == want {
                return Ended::Whole(text);
            }
            text.push_str(&event.text());
        }
        return Ended::Broken("cut".into());
    }
    match caller.complete(at, ask).await {
        Ok(reply) if reply.field("/choices/0/text") == want => Ended::Whole(want),
        Ok(reply) => Ended::Broken(reply.body),
        Err(error) => Ended::Broken(error.to_string()),
    }
}

async fn probe(processes: &Mutex<Vec<Arc<Process>>>, ready: &Ready) {
    loop {
        let all = processes.lock().unwrap().clone();
        let mut found = Vec::new();
        for process in &all {
            if process.is_ready().await {
                found.push(process.address());
            }
        }
        if !found.is_empty() {
            *ready.0.lock().unwrap() = found;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

async fn site() -> Site {
    let engine = EngineSetup { step: Duration::from_millis(15), ..EngineSetup::default() };
    let setup = SiteSetup { engines: vec![engine; 4], ..SiteSetup::default() };
    let site = Site::start(setup).await;
    site.apply(Revision(0)).await;
    site
}

#[tokio::test(flavor = "multi_thread")]
async fn replacing_all_instances_cuts_no_request() {
    let site = site().await;
    let processes = Mutex::new(Vec::new());
    for i in 0..6 {
        let process = Arc::new(common::start(&site, i));
        process.ready().await;
        processes.lock().unwrap().push(process);
    }
    let (ready, stop) = (Arc::new(Ready::default()), Arc::new(AtomicBool::new(false)));
    ready.0.lock().unwrap().push(processes.lock().unwrap()[0].address());
    let replace = async {
        for i in 0..6 {
            let fresh = Arc::new(common::start(&site, 10 + i));
            fresh.ready().await;
            let old = processes.lock().unwrap().remove(0);
            processes.lock().unwrap().push(fresh);
            old.signal(Signal::SIGTERM);
            assert_eq!(old.ended().await, Some(0));
        }
        stop.store(true, Ordering::Relaxed);
    };
    let loading = tokio::spawn(load(ready.clone(), stop.clone()));
    tokio::select! {
        () = probe(&processes, &ready) => {}
        () = replace => {}
    }
    let ended = loading.await.unwrap();
    let cut: Vec<&Ended> = ended.iter().filter(|e| !matches!(e, Ended::Whole(_))).collect();
    println!("{} requests, {} cut", ended.len(), cut.len());
    assert!(cut.is_empty(), "{cut:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_out_a_version_cuts_no_answer() {
    let mut site = site().await;
    let instances = site.instances(2).await;
    let ready = Arc::new(Ready::default());
    ready.0.lock().unwrap().extend(instances.iter().map(Instance::address));
    let stop = Arc::new(AtomicBool::new(false));
    let loading = tokio::spawn(load(ready, stop.clone()));
    site.manifest.models.values_mut().for_each(|m| m.version = "2".parse().unwrap());
    site.apply(site.kv.revision_of("manifest")).await;
    let engines = site.engines.clone();
    eventually("all engines serve version 2", move || {
        engines.iter().all(|e| e.report().version.as_str() == "2" && !e.report().changing)
    })
    .await;
    stop.store(true, Ordering::Relaxed);
    let ended = loading.await.unwrap();
    assert!(ended.iter().all(|e| matches!(e, Ended::Whole(_))), "{ended:?}");
    assert_eq!(site.engines.iter().flat_map(|e| e.effects()).map(|e| e.cut).sum::<usize>(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_gets_no_new_work() {
    let site = site().await;
    site.list.faults.set(|f| f.lag = Duration::from_millis(1_500));
    let instances = site.instances(3).await;
    let ready = Arc::new(Ready::default());
    ready.0.lock().unwrap().extend(instances.iter().map(Instance::address));
    let stop = Arc::new(AtomicBool::new(false));
    let loading = tokio::spawn(load(ready, stop.clone()));
    sleep(Duration::from_secs(1)).await;
    site.list.set_state("e0", ListState::Leaving);
    let told = Instant::now();
    let apps: Vec<_> = instances.iter().map(|i| i.app.clone()).collect();
    let known = |app: &App| app.fleet().engines.iter().any(|e| e.leaving);
    eventually("all instances know", move || apps.iter().all(|a| known(a))).await;
    println!("all instances know after {:?}, the list's lag included", told.elapsed());
    // What was chosen before may still be on its way.
    sleep(Duration::from_millis(200)).await;
    let begun = site.engines[0].begun.lock().unwrap().len();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(site.engines[0].begun.lock().unwrap().len(), begun, "new work");
    stop.store(true, Ordering::Relaxed);
    let ended = loading.await.unwrap();
    assert!(ended.iter().all(|e| matches!(e, Ended::Whole(_))), "{ended:?}");
    assert!(begun > 0);
}
