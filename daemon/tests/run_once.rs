//! Run-once requests that callers repeat through all instances while the store, targets and
//! instances fail. No request may run twice.

mod common;

use {
    lentil_core::ids::Revision,
    lentil_fakes::{
        client::{CallOutcome, Caller},
        deployment::{Deployment, DeploymentSetup, InstanceProcess, DESK_KEY},
    },
    nix::sys::signal::Signal,
    rand::{rngs::SmallRng, Rng, SeedableRng},
    std::{collections::HashMap, net::SocketAddr, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// Number of idempotency keys, each with its own request.
const KEYS: usize = 60;
/// Callers that send each key concurrently.
const CALLERS_PER_KEY: usize = 3;
/// Timeout of a caller for one request, including retries.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(25);

fn body(key: usize) -> String {
    format!("booking {key}")
}

/// Sends each key from several callers within 6 s; returns key and outcome of each call.
async fn send_all(addresses: &[SocketAddr], seed: u64) -> Vec<(usize, CallOutcome)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut tasks = JoinSet::new();
    for key in 0..KEYS {
        for _ in 0..CALLERS_PER_KEY {
            let start = Duration::from_millis(rng.gen_range(0..6_000));
            let balancer = addresses.to_vec();
            tasks.spawn(async move {
                sleep(start).await;
                let path = "/services/bookings/manifest";
                let (id, body) = (format!("key-{key}"), body(key));
                let caller = Caller::new(DESK_KEY);
                (key, caller.post_with_retries(&balancer, path, &id, &body, REQUEST_TIMEOUT).await)
            });
        }
    }
    tasks.join_all().await
}

/// Compares the outcomes of all calls with what targets ran; returns the number of calls by outcome.
fn check_history(
    deployment: &Deployment,
    history: &[(usize, CallOutcome)],
) -> HashMap<&'static str, usize> {
    let runs = deployment.effects.run_counts();
    let mut counts: HashMap<&'static str, usize> = HashMap::new();
    for (body, count) in &runs {
        assert_eq!(*count, 1, "{body} ran {count} times");
    }
    for key in 0..KEYS {
        let outcomes: Vec<&CallOutcome> =
            history.iter().filter(|(k, _)| *k == key).map(|(_, o)| o).collect();
        let ran = runs.contains_key(&body(key));
        for outcome in &outcomes {
            let kind = match outcome {
                CallOutcome::Complete(text) => {
                    assert!(
                        ran && text.contains(&body(key)),
                        "key {key}: the response to another request"
                    );
                    "complete"
                }
                CallOutcome::NotRun(_) => "not run",
                CallOutcome::Unknown(_) => "unknown",
                CallOutcome::Incomplete(_) => "incomplete",
            };
            *counts.entry(kind).or_default() += 1;
        }
        let all_refused = outcomes.iter().all(|o| matches!(o, CallOutcome::NotRun(_)));
        assert!(!(all_refused && ran), "all responses say that key {key} did not run, but it ran");
    }
    counts
}

async fn start_deployment() -> (Deployment, Vec<InstanceProcess>) {
    let deployment =
        Deployment::start(DeploymentSetup { targets: 3, ..DeploymentSetup::default() }).await;
    deployment.apply_manifest(Revision(0)).await;
    let processes: Vec<InstanceProcess> =
        (0..3).map(|i| common::start_process(&deployment, i)).collect();
    for process in &processes {
        process.wait_ready().await;
    }
    (deployment, processes)
}

fn addresses(processes: &[InstanceProcess]) -> Vec<SocketAddr> {
    processes.iter().map(InstanceProcess::address).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_request_runs_once_when_store_responses_are_lost_and_targets_crash() {
    let (deployment, processes) = start_deployment().await;
    deployment.kv.faults.update(|f| f.lose_every = 3);
    let faults = async {
        for i in 0..6 {
            sleep(Duration::from_millis(700)).await;
            let (target, server) = &deployment.targets[i % 3];
            match i % 2 {
                0 => target.faults.update(|f| f.lose_next = 2),
                _ => {
                    server.abort();
                    sleep(Duration::from_millis(200)).await;
                    server.restart(target.clone()).await;
                }
            }
        }
    };
    let addresses = addresses(&processes);
    let (history, ()) = tokio::join!(send_all(&addresses, 11), faults);
    let counts = check_history(&deployment, &history);
    println!("{counts:?}");
    assert!(counts["complete"] > KEYS * CALLERS_PER_KEY / 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_request_runs_once_when_an_instance_is_killed_and_the_store_is_down() {
    let (deployment, processes) = start_deployment().await;
    deployment
        .targets
        .iter()
        .for_each(|(t, _)| t.faults.update(|f| f.call_time = Duration::from_millis(150)));
    let faults = async {
        sleep(Duration::from_millis(1_500)).await;
        processes[1].signal(Signal::SIGKILL);
        sleep(Duration::from_millis(1_000)).await;
        deployment.kv.faults.update(|f| f.down = true);
        sleep(Duration::from_millis(1_500)).await;
        deployment.kv.faults.update(|f| f.down = false);
    };
    let addresses = addresses(&processes);
    let (history, ()) = tokio::join!(send_all(&addresses, 12), faults);
    let counts = check_history(&deployment, &history);
    println!("{counts:?}");
    assert!(counts["complete"] > KEYS * CALLERS_PER_KEY / 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_is_never_repeated_ends_as_unknown_when_its_response_is_lost() {
    let (deployment, processes) = start_deployment().await;
    let caller = Caller::new(DESK_KEY);
    let address = processes[0].address();
    let path = "/services/bookings/alerts";
    for i in 0..12 {
        deployment
            .targets
            .iter()
            .for_each(|(t, _)| t.faults.update(|f| f.lose_next = u32::from(i % 2 == 0)));
        let body = format!("alert {i}");
        let reply = caller.call(address, hyper::Method::POST, path, &body).await.unwrap();
        match i % 2 {
            0 => assert_eq!(reply.header("lentil-outcome"), "unknown", "{}", reply.body),
            _ => assert_eq!(reply.status, 200, "{}", reply.body),
        }
        assert_eq!(deployment.effects.run_counts()[&body], 1);
    }
    deployment.targets.iter().for_each(|(_, server)| server.abort());
    let reply = caller.call(address, hyper::Method::POST, path, "alert late").await.unwrap();
    assert_eq!(reply.header("lentil-outcome"), "not-run", "{}", reply.body);
    assert!(!deployment.effects.run_counts().contains_key("alert late"));
}
