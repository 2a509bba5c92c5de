//! Planned stops under load cut no request.

mod common;

use {
    lentil_core::ids::Revision,
    lentil_fakes::{
        client::{Balancer, CallOutcome, Caller, CompletionRequest},
        deployment::{
            eventually, Deployment, DeploymentSetup, Instance, InstanceProcess, CAMERA_KEY,
        },
        engine::{expected_answer, EngineSetup},
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
async fn load(balancer: Arc<Ready>, stop: Arc<AtomicBool>) -> Vec<CallOutcome> {
    let mut tasks = JoinSet::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let prompt = format!("report {number}");
        let ask = CompletionRequest {
            model: "groot".into(),
            prompt,
            max_tokens: TOKENS,
            stream: number % 2 == 0,
        };
        let at = balancer.pick();
        tasks.spawn(async move { once(at, &ask).await });
        sleep(Duration::from_millis(60)).await;
    }
    tasks.join_all().await
}

async fn once(at: SocketAddr, ask: &CompletionRequest) -> CallOutcome {
    let caller = Caller::new(CAMERA_KEY);
    let want = expected_answer(&ask.prompt, "", TOKENS);
    if ask.stream {
        use lentil_fakes::client::StreamReply;
        let Ok(StreamReply::Events(mut events)) = caller.stream_completion(at, ask).await else {
            return CallOutcome::Incomplete("not begun".into());
        };
        let mut text = String::new();
        while let Some(event) = events.next().await {
            if event.is_done() && text == want {
                return CallOutcome::Complete(text);
            }
            text.push_str(&event.text());
        }
        return CallOutcome::Incomplete("cut".into());
    }
    match caller.complete(at, ask).await {
        Ok(reply) if reply.field("/choices/0/text") == want => CallOutcome::Complete(want),
        Ok(reply) => CallOutcome::Incomplete(reply.body),
        Err(error) => CallOutcome::Incomplete(error.to_string()),
    }
}

async fn probe(processes: &Mutex<Vec<Arc<InstanceProcess>>>, ready: &Ready) {
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

async fn site() -> Deployment {
    let engine =
        EngineSetup { token_interval: Duration::from_millis(15), ..EngineSetup::default() };
    let setup = DeploymentSetup { engines: vec![engine; 4], ..DeploymentSetup::default() };
    let site = Deployment::start(setup).await;
    site.apply_manifest(Revision(0)).await;
    site
}

#[tokio::test(flavor = "multi_thread")]
async fn replacing_all_instances_cuts_no_request() {
    let site = site().await;
    let processes = Mutex::new(Vec::new());
    for i in 0..6 {
        let process = Arc::new(common::start(&site, i));
        process.wait_ready().await;
        processes.lock().unwrap().push(process);
    }
    let (ready, stop) = (Arc::new(Ready::default()), Arc::new(AtomicBool::new(false)));
    ready.0.lock().unwrap().push(processes.lock().unwrap()[0].address());
    let replace = async {
        for i in 0..6 {
            let fresh = Arc::new(common::start(&site, 10 + i));
            fresh.wait_ready().await;
            let old = processes.lock().unwrap().remove(0);
            processes.lock().unwrap().push(fresh);
            old.signal(Signal::SIGTERM);
            assert_eq!(old.wait_exit().await, Some(0));
        }
        stop.store(true, Ordering::Relaxed);
    };
    let loading = tokio::spawn(load(ready.clone(), stop.clone()));
    tokio::select! {
        () = probe(&processes, &ready) => {}
        () = replace => {}
    }
    let ended = loading.await.unwrap();
    let cut: Vec<&CallOutcome> =
        ended.iter().filter(|e| !matches!(e, CallOutcome::Complete(_))).collect();
    println!("{} requests, {} cut", ended.len(), cut.len());
    assert!(cut.is_empty(), "{cut:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_out_a_version_cuts_no_answer() {
    let mut site = site().await;
    let instances = site.start_instances(2).await;
    let ready = Arc::new(Ready::default());
    ready.0.lock().unwrap().extend(instances.iter().map(Instance::address));
    let stop = Arc::new(AtomicBool::new(false));
    let loading = tokio::spawn(load(ready, stop.clone()));
    site.manifest.models.values_mut().for_each(|m| m.version = "2".parse().unwrap());
    site.apply_manifest(site.kv.revision_of("manifest")).await;
    let engines = site.engines.clone();
    eventually("all engines serve version 2", move || {
        engines.iter().all(|e| e.report().version.as_str() == "2" && !e.report().changing)
    })
    .await;
    stop.store(true, Ordering::Relaxed);
    let ended = loading.await.unwrap();
    assert!(ended.iter().all(|e| matches!(e, CallOutcome::Complete(_))), "{ended:?}");
    assert_eq!(
        site.engines.iter().flat_map(|e| e.order_effects()).map(|e| e.runs_cut).sum::<usize>(),
        0
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_gets_no_new_work() {
    let site = site().await;
    site.list.faults.update(|f| f.lag = Duration::from_millis(1_500));
    let instances = site.start_instances(3).await;
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
    let begun = site.engines[0].started_runs.lock().unwrap().len();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(site.engines[0].started_runs.lock().unwrap().len(), begun, "new work");
    stop.store(true, Ordering::Relaxed);
    let ended = loading.await.unwrap();
    assert!(ended.iter().all(|e| matches!(e, CallOutcome::Complete(_))), "{ended:?}");
    assert!(begun > 0);
}
