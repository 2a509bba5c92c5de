//! Run-once requests, sent again through all instances while things fail.

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

const KEYS: usize = 60;
/// Callers that send each key at the same time.
const RESENDS: usize = 3;
const PATIENCE: Duration = Duration::from_secs(25);

fn body(key: usize) -> String {
    format!("booking {key}")
}

/// Sends all keys, each from several callers at once; how each send ended.
async fn send_all(addresses: &[SocketAddr], seed: u64) -> Vec<(usize, CallOutcome)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut tasks = JoinSet::new();
    for key in 0..KEYS {
        for _ in 0..RESENDS {
            let start = Duration::from_millis(rng.gen_range(0..6_000));
            let balancer = addresses.to_vec();
            tasks.spawn(async move {
                sleep(start).await;
                let path = "/services/bookings/manifest";
                let (id, body) = (format!("key-{key}"), body(key));
                let caller = Caller::new(DESK_KEY);
                (key, caller.post_with_retries(&balancer, path, &id, &body, PATIENCE).await)
            });
        }
    }
    tasks.join_all().await
}

/// The history of all sends against what was run.
fn check_history(
    site: &Deployment,
    history: &[(usize, CallOutcome)],
) -> HashMap<&'static str, usize> {
    let runs = site.effects.run_counts();
    let mut counts: HashMap<&'static str, usize> = HashMap::new();
    for (what, count) in &runs {
        assert_eq!(*count, 1, "{what} was run {count} times");
    }
    for key in 0..KEYS {
        let ended: Vec<&CallOutcome> =
            history.iter().filter(|(k, _)| *k == key).map(|(_, e)| e).collect();
        let ran = runs.contains_key(&body(key));
        for end in &ended {
            let kind = match end {
                CallOutcome::Complete(text) => {
                    assert!(ran && text.contains(&body(key)), "key {key}: another's answer");
                    "whole"
                }
                CallOutcome::NotRun(_) => "not run",
                CallOutcome::Unknown(_) => "unknown",
                CallOutcome::Incomplete(_) => "broken",
            };
            *counts.entry(kind).or_default() += 1;
        }
        let all_refused = ended.iter().all(|e| matches!(e, CallOutcome::NotRun(_)));
        assert!(!(all_refused && ran), "key {key} was refused as not run, but ran");
    }
    counts
}

async fn site() -> (Deployment, Vec<InstanceProcess>) {
    let site =
        Deployment::start(DeploymentSetup { targets: 3, ..DeploymentSetup::default() }).await;
    site.apply_manifest(Revision(0)).await;
    let processes: Vec<InstanceProcess> = (0..3).map(|i| common::start(&site, i)).collect();
    for process in &processes {
        process.wait_ready().await;
    }
    (site, processes)
}

fn addresses(processes: &[InstanceProcess]) -> Vec<SocketAddr> {
    processes.iter().map(InstanceProcess::address).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_runs_once_while_the_store_loses_answers_and_targets_crash() {
    let (site, processes) = site().await;
    site.kv.faults.update(|f| f.lose_every = 3);
    let faults = async {
        for i in 0..6 {
            sleep(Duration::from_millis(700)).await;
            let (target, host) = &site.targets[i % 3];
            match i % 2 {
                0 => target.faults.update(|f| f.lose_next = 2),
                _ => {
                    host.abort();
                    sleep(Duration::from_millis(200)).await;
                    host.restart(target.clone()).await;
                }
            }
        }
    };
    let addresses = addresses(&processes);
    let (history, ()) = tokio::join!(send_all(&addresses, 11), faults);
    let counts = check_history(&site, &history);
    println!("{counts:?}");
    assert!(counts["whole"] > KEYS * RESENDS / 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_runs_once_while_an_instance_is_killed_and_the_store_goes_down() {
    let (site, processes) = site().await;
    site.targets
        .iter()
        .for_each(|(t, _)| t.faults.update(|f| f.call_time = Duration::from_millis(150)));
    let faults = async {
        sleep(Duration::from_millis(1_500)).await;
        processes[1].signal(Signal::SIGKILL);
        sleep(Duration::from_millis(1_000)).await;
        site.kv.faults.update(|f| f.down = true);
        sleep(Duration::from_millis(1_500)).await;
        site.kv.faults.update(|f| f.down = false);
    };
    let addresses = addresses(&processes);
    let (history, ()) = tokio::join!(send_all(&addresses, 12), faults);
    let counts = check_history(&site, &history);
    println!("{counts:?}");
    assert!(counts["whole"] > KEYS * RESENDS / 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn never_is_sent_once_and_its_loss_is_unknown() {
    let (site, processes) = site().await;
    let caller = Caller::new(DESK_KEY);
    let at = processes[0].address();
    let path = "/services/bookings/alerts";
    for i in 0..12 {
        site.targets
            .iter()
            .for_each(|(t, _)| t.faults.update(|f| f.lose_next = u32::from(i % 2 == 0)));
        let body = format!("alert {i}");
        let reply = caller.call(at, hyper::Method::POST, path, &body).await.unwrap();
        match i % 2 {
            0 => assert_eq!(reply.header("lentil-outcome"), "unknown", "{}", reply.body),
            _ => assert_eq!(reply.status, 200, "{}", reply.body),
        }
        assert_eq!(site.effects.run_counts()[&body], 1);
    }
    site.targets.iter().for_each(|(_, host)| host.abort());
    let reply = caller.call(at, hyper::Method::POST, path, "alert late").await.unwrap();
    assert_eq!(reply.header("lentil-outcome"), "not-run", "{}", reply.body);
    assert!(!site.effects.run_counts().contains_key("alert late"));
}
