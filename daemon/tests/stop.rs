//! Planned stops, rollouts and leaving engines under load: no request is cut.

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

/// Tokens of each answer. An answer takes about 4 s, longer than a stopping instance waits for the
/// balancer before it drains.
const TOKENS: u32 = 260;

/// Balancer that picks any of the instances whose readiness probe succeeded.
#[derive(Default)]
struct ReadyInstances(Mutex<Vec<SocketAddr>>);

impl Balancer for ReadyInstances {
    fn pick(&self) -> SocketAddr {
        let ready = self.0.lock().unwrap();
        ready[rand::random::<usize>() % ready.len()]
    }
}

/// Sends requests until `stop` is set. Callers do not retry, so a closed connection counts as a cut
/// request.
async fn send_load(balancer: Arc<ReadyInstances>, stop: Arc<AtomicBool>) -> Vec<CallOutcome> {
    let mut tasks = JoinSet::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let prompt = format!("report {number}");
        let request = CompletionRequest {
            model: "groot".into(),
            prompt,
            max_tokens: TOKENS,
            stream: number % 2 == 0,
        };
        let address = balancer.pick();
        tasks.spawn(async move { send_once(address, &request).await });
        sleep(Duration::from_millis(60)).await;
    }
    tasks.join_all().await
}

async fn send_once(address: SocketAddr, request: &CompletionRequest) -> CallOutcome {
    let caller = Caller::new(CAMERA_KEY);
    let expected = expected_answer(&request.prompt, "", TOKENS);
    if request.stream {
        use lentil_fakes::client::StreamReply;
        let Ok(StreamReply::Events(mut events)) = caller.stream_completion(address, request).await
        else {
            return CallOutcome::Incomplete("the stream did not begin".into());
        };
        let mut text = String::new();
        while let Some(event) = events.next().await {
            if event.is_done() && text == expected {
                return CallOutcome::Complete(text);
            }
            text.push_str(&event.text());
        }
        return CallOutcome::Incomplete("the stream was cut".into());
    }
    match caller.complete(address, request).await {
        Ok(reply) if reply.field("/choices/0/text") == expected => CallOutcome::Complete(expected),
        Ok(reply) => CallOutcome::Incomplete(reply.body),
        Err(error) => CallOutcome::Incomplete(error.to_string()),
    }
}

/// Probes the instances every 100 ms. If none is ready, the set found last stays in use.
async fn probe_instances(processes: &Mutex<Vec<Arc<InstanceProcess>>>, ready: &ReadyInstances) {
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

async fn start_deployment() -> Deployment {
    let engine =
        EngineSetup { token_interval: Duration::from_millis(15), ..EngineSetup::default() };
    let setup = DeploymentSetup { engines: vec![engine; 4], ..DeploymentSetup::default() };
    let deployment = Deployment::start(setup).await;
    deployment.apply_manifest(Revision(0)).await;
    deployment
}

#[tokio::test(flavor = "multi_thread")]
async fn replacing_all_instances_cuts_no_request() {
    let deployment = start_deployment().await;
    let processes = Mutex::new(Vec::new());
    for i in 0..6 {
        let process = Arc::new(common::start_process(&deployment, i));
        process.wait_ready().await;
        processes.lock().unwrap().push(process);
    }
    let (ready, stop) = (Arc::new(ReadyInstances::default()), Arc::new(AtomicBool::new(false)));
    ready.0.lock().unwrap().push(processes.lock().unwrap()[0].address());
    let replacement = async {
        for i in 0..6 {
            let fresh = Arc::new(common::start_process(&deployment, 10 + i));
            fresh.wait_ready().await;
            let old = processes.lock().unwrap().remove(0);
            processes.lock().unwrap().push(fresh);
            old.signal(Signal::SIGTERM);
            assert_eq!(old.wait_exit().await, Some(0));
        }
        stop.store(true, Ordering::Relaxed);
    };
    let load = tokio::spawn(send_load(ready.clone(), stop.clone()));
    tokio::select! {
        () = probe_instances(&processes, &ready) => {}
        () = replacement => {}
    }
    let outcomes = load.await.unwrap();
    let cut: Vec<&CallOutcome> =
        outcomes.iter().filter(|o| !matches!(o, CallOutcome::Complete(_))).collect();
    println!("{} requests, {} cut", outcomes.len(), cut.len());
    assert!(cut.is_empty(), "{cut:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_out_a_model_version_cuts_no_answer() {
    let mut deployment = start_deployment().await;
    let instances = deployment.start_instances(2).await;
    let ready = Arc::new(ReadyInstances::default());
    ready.0.lock().unwrap().extend(instances.iter().map(Instance::address));
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(send_load(ready, stop.clone()));
    deployment.manifest.models.values_mut().for_each(|m| m.version = "2".parse().unwrap());
    deployment.apply_manifest(deployment.kv.revision_of("manifest")).await;
    let engines = deployment.engines.clone();
    eventually("all engines serve version 2", move || {
        engines.iter().all(|e| e.report().version.as_str() == "2" && !e.report().changing)
    })
    .await;
    stop.store(true, Ordering::Relaxed);
    let outcomes = load.await.unwrap();
    assert!(outcomes.iter().all(|o| matches!(o, CallOutcome::Complete(_))), "{outcomes:?}");
    assert_eq!(
        deployment
            .engines
            .iter()
            .flat_map(|e| e.order_effects())
            .map(|e| e.runs_cut)
            .sum::<usize>(),
        0
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_gets_no_new_runs() {
    let deployment = start_deployment().await;
    deployment.list.faults.update(|f| f.lag = Duration::from_millis(1_500));
    let instances = deployment.start_instances(3).await;
    let ready = Arc::new(ReadyInstances::default());
    ready.0.lock().unwrap().extend(instances.iter().map(Instance::address));
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(send_load(ready, stop.clone()));
    sleep(Duration::from_secs(1)).await;
    deployment.list.set_state("e0", ListState::Leaving);
    let listed = Instant::now();
    let apps: Vec<_> = instances.iter().map(|i| i.app.clone()).collect();
    let known = |app: &App| app.fleet().engines.iter().any(|e| e.leaving);
    eventually("all instances know", move || apps.iter().all(|a| known(a))).await;
    println!("all instances know after {:?}, which includes the lag of the list", listed.elapsed());
    // Runs routed before that may still be on their way.
    sleep(Duration::from_millis(200)).await;
    let started = deployment.engines[0].started_runs.lock().unwrap().len();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(deployment.engines[0].started_runs.lock().unwrap().len(), started, "new runs");
    stop.store(true, Ordering::Relaxed);
    let outcomes = load.await.unwrap();
    assert!(outcomes.iter().all(|o| matches!(o, CallOutcome::Complete(_))), "{outcomes:?}");
    assert!(started > 0);
}
