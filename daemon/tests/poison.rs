//! A request that crashes its targets, sent again and again through all instances.

use {
    lentil_core::ids::Revision,
    lentil_fakes::{
        client::{CallOutcome, Caller, CompletionRequest},
        deployment::{eventually, Deployment, DeploymentSetup, Instance, CAMERA_KEY},
        engine::{expected_answer, EngineSetup, POISON},
    },
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        time::Duration,
    },
    tokio::{task::JoinSet, time::sleep},
};

fn prompt(text: String, stream: bool) -> CompletionRequest {
    CompletionRequest { model: "groot".into(), prompt: text, max_tokens: 40, stream }
}

#[tokio::test(flavor = "multi_thread")]
async fn poison_takes_at_most_two_targets_and_no_neighbour() {
    takes_two(Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn poison_takes_at_most_two_targets_that_die_slowly() {
    takes_two(Duration::from_millis(150)).await;
}

/// Sends poison where a crashed target's port stays open for a while.
async fn takes_two(dying: Duration) {
    let engine =
        EngineSetup { token_interval: Duration::from_millis(10), ..EngineSetup::default() };
    let setup = DeploymentSetup { engines: vec![engine; 5], ..DeploymentSetup::default() };
    let site = Deployment::start(setup).await;
    site.apply_manifest(Revision(0)).await;
    for engine in &site.engines {
        engine.faults.update(|f| f.crash_linger = dying);
    }
    let instances = site.start_instances(3).await;
    let addresses: Vec<SocketAddr> = instances.iter().map(Instance::address).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let innocents = tokio::spawn(neighbours(addresses.clone(), stop.clone()));
    sleep(Duration::from_millis(500)).await;
    let mut codes = Vec::new();
    for i in 0..9 {
        let ask = prompt(format!("meteor {POISON}"), false);
        let reply = Caller::new(CAMERA_KEY).complete(addresses[i % 3], &ask).await.unwrap();
        codes.push(reply.field("/error/code"));
        // Crashed engines come back, so that there is always one to crash.
        for engine in &site.engines {
            if engine.crashes.load(Ordering::Relaxed) > 0 && engine.report().boot.0 == 1 {
                engine.restart().await;
            }
        }
        let apps: Vec<_> = instances.iter().map(|i| i.app.clone()).collect();
        let known = move || apps.iter().all(|a| a.quarantine().quarantined() == 1);
        eventually("all instances know", known).await;
    }
    stop.store(true, Ordering::Relaxed);
    let crashes: u64 = site.engines.iter().map(|e| e.crashes.load(Ordering::Relaxed)).sum();
    assert!(crashes <= 2, "{crashes} targets lost: {codes:?}");
    assert!(codes[1..].iter().all(|c| c == "quarantined"), "{codes:?}");
    let ended = innocents.await.unwrap();
    let lost: Vec<_> =
        ended.iter().filter(|(e, want)| *e != CallOutcome::Complete(want.clone())).collect();
    println!("{} neighbours, {} lost, {crashes} targets lost", ended.len(), lost.len());
    assert!(lost.is_empty(), "{lost:?}");
}

async fn neighbours(
    addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
) -> Vec<(CallOutcome, String)> {
    let mut tasks = JoinSet::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let (balancer, ask) = (addresses.clone(), prompt(format!("innocent {number}"), true));
        tasks.spawn(async move {
            let limit = Duration::from_secs(30);
            let ended = Caller::new(CAMERA_KEY).stream_with_retries(&balancer, &ask, limit).await;
            (ended, expected_answer(&ask.prompt, "", 40))
        });
        sleep(Duration::from_millis(20)).await;
    }
    tasks.join_all().await
}
