//! A request that crashes each target that runs it, sent repeatedly through all instances. It must
//! be quarantined before it crashes more than two targets.

use {
    lentil_core::{
        ids::{Fingerprint, Incarnation, PrefixHash, Revision},
        mesh::Update,
        poison::{Crash, RunPermission, SUSPECT_RETENTION},
    },
    lentil_fakes::{
        client::{CallOutcome, Caller, CompletionRequest},
        deployment::{eventually, Deployment, DeploymentSetup, Instance, CAMERA_KEY},
        engine::{expected_answer, EngineSetup, POISON},
    },
    lentil_node::{
        app::App,
        mesh::{clear_blame, report_crash, ReportedBy},
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

fn completion(text: String, stream: bool) -> CompletionRequest {
    CompletionRequest { model: "groot".into(), prompt: text, max_tokens: 40, stream }
}

#[tokio::test(flavor = "multi_thread")]
async fn poison_takes_at_most_two_targets_and_no_neighbour() {
    check_crash_limit(Duration::ZERO).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn poison_takes_at_most_two_targets_that_die_slowly() {
    check_crash_limit(Duration::from_millis(150)).await;
}

/// Sends the poison request nine times while other requests run, and checks that at most two targets
/// crash and no other request is lost. The port of a crashed target stays open for `crash_linger`.
async fn check_crash_limit(crash_linger: Duration) {
    let engine =
        EngineSetup { token_interval: Duration::from_millis(10), ..EngineSetup::default() };
    let setup = DeploymentSetup { engines: vec![engine; 5], ..DeploymentSetup::default() };
    let deployment = Deployment::start(setup).await;
    deployment.apply_manifest(Revision(0)).await;
    for engine in &deployment.engines {
        engine.faults.update(|f| f.crash_linger = crash_linger);
    }
    let instances = deployment.start_instances(3).await;
    let addresses: Vec<SocketAddr> = instances.iter().map(Instance::address).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let bystanders = tokio::spawn(send_bystanders(addresses.clone(), stop.clone()));
    sleep(Duration::from_millis(500)).await;
    let mut codes = Vec::new();
    for i in 0..9 {
        let request = completion(format!("meteor {POISON}"), false);
        let reply = Caller::new(CAMERA_KEY).complete(addresses[i % 3], &request).await.unwrap();
        codes.push(reply.field("/error/code"));
        // Restarts crashed engines, so that a repeated request always finds one to crash.
        for engine in &deployment.engines {
            if engine.crashes.load(Ordering::Relaxed) > 0 && engine.report().boot.0 == 1 {
                engine.restart().await;
            }
        }
        let apps: Vec<_> = instances.iter().map(|i| i.app.clone()).collect();
        let all_know = move || apps.iter().all(|a| a.quarantine().quarantined() == 1);
        eventually("all instances know", all_know).await;
    }
    stop.store(true, Ordering::Relaxed);
    let crashes: u64 = deployment.engines.iter().map(|e| e.crashes.load(Ordering::Relaxed)).sum();
    assert!(crashes <= 2, "{crashes} targets crashed: {codes:?}");
    assert!(codes[1..].iter().all(|c| c == "quarantined"), "{codes:?}");
    let outcomes = bystanders.await.unwrap();
    let lost: Vec<_> = outcomes
        .iter()
        .filter(|(outcome, expected)| *outcome != CallOutcome::Complete(expected.clone()))
        .collect();
    println!("{} other requests, {} lost, {crashes} targets crashed", outcomes.len(), lost.len());
    assert!(lost.is_empty(), "{lost:?}");
}

/// Streams harmless requests until `stop` is set; returns outcome and expected text of each.
async fn send_bystanders(
    addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
) -> Vec<(CallOutcome, String)> {
    let mut tasks = JoinSet::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let (balancer, request) =
            (addresses.clone(), completion(format!("innocent {number}"), true));
        tasks.spawn(async move {
            let limit = Duration::from_secs(30);
            let outcome =
                Caller::new(CAMERA_KEY).stream_with_retries(&balancer, &request, limit).await;
            (outcome, expected_answer(&request.prompt, "", 40))
        });
        sleep(Duration::from_millis(20)).await;
    }
    tasks.join_all().await
}

/// Waits until each of two instances has the other in its view.
async fn wait_acquainted(apps: &[Arc<App>]) {
    let all_seen = || apps.iter().all(|a| a.member_view().live().count() == 1);
    eventually("the instances know each other", all_seen).await;
}

/// Fingerprint of a [`completion`] of `text`.
fn fingerprint(text: &str) -> Fingerprint {
    Fingerprint::of(&[b"hemelwacht", b"vuurbol-groot", b"", text.as_bytes(), &40_u32.to_le_bytes()])
}

#[tokio::test(flavor = "multi_thread")]
async fn suspects_of_two_instances_share_no_engine_if_one_sees_an_engine_as_down() {
    let engine =
        EngineSetup { token_interval: Duration::from_millis(10), ..EngineSetup::default() };
    let setup = DeploymentSetup { engines: vec![engine; 4], ..DeploymentSetup::default() };
    let deployment = Deployment::start(setup).await;
    deployment.apply_manifest(Revision(0)).await;
    let instances = deployment.start_instances(2).await;
    let apps: Vec<_> = instances.iter().map(|i| i.app.clone()).collect();
    wait_acquainted(&apps).await;
    for case in 0..8 {
        let (viewer, engine) = (case % 2, format!("e{}", case / 2));
        let mut calls = JoinSet::new();
        for (i, instance) in instances.iter().enumerate() {
            let text = format!("suspect {case} of {i}");
            let crash = Crash { engine: "e9".parse().unwrap(), boot: Incarnation(1) };
            instance.app.quarantine().record_crash(fingerprint(&text), crash, instance.app.now());
            let address = instance.address();
            if i == viewer {
                let now = instance.app.now();
                let mut fleet = instance.app.fleet();
                fleet.engine(&engine.parse().unwrap()).unwrap().breaker.trip(now);
            }
            calls.spawn(async move {
                Caller::new(CAMERA_KEY).complete(address, &completion(text, false)).await.unwrap()
            });
        }
        let both = || apps.iter().all(|a| !a.fleet().suspects.is_empty());
        eventually("both suspects run", both).await;
        let [first, second] = [0, 1].map(|i| apps[i].fleet().suspects.clone());
        assert!(first.is_disjoint(&second), "{engine} down for {viewer}: both run on {first:?}");
        calls.join_all().await;
        let id = engine.parse().unwrap();
        apps[viewer].fleet().engine(&id).unwrap().breaker.record_success();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn quarantine_reaches_instances_that_missed_all_news_of_its_crashes() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    deployment.apply_manifest(Revision(0)).await;
    let instances = deployment.start_instances(3).await;
    let app = &instances[0].app;
    for engine in ["e0", "e1"] {
        let crash = Crash { engine: engine.parse().unwrap(), boot: Incarnation(1) };
        app.quarantine().record_crash(Fingerprint(7), crash, app.now());
    }
    let apps: Vec<_> = instances.iter().map(|i| i.app.clone()).collect();
    let all_know = move || apps.iter().all(|a| a.quarantine().quarantined() == 1);
    eventually("all instances know", all_know).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_of_long_ago_is_not_gossiped_as_a_new_one() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    deployment.apply_manifest(Revision(0)).await;
    let instances = deployment.start_instances(2).await;
    let app = &instances[0].app;
    let age = SUSPECT_RETENTION - Duration::from_secs(5);
    for engine in ["e0", "e1"] {
        let crash = Crash { engine: engine.parse().unwrap(), boot: Incarnation(1) };
        app.quarantine().record_past_crash(Fingerprint(7), crash, age, app.now());
    }
    let other = instances[1].app.clone();
    let knows = move || other.quarantine().quarantined() == 1;
    eventually("the other instance knows", knows).await;
    let ends = instances[1].app.now() + Duration::from_secs(10);
    let permissions = instances.iter().map(|i| i.app.quarantine().permission(Fingerprint(7), ends));
    assert!(permissions.into_iter().all(|p| p == RunPermission::Clear));
    let updates = instances[1].app.member_view().take_updates(64);
    assert!(!updates.iter().any(|u| matches!(u, Update::Crashed { .. })), "{updates:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn quarantine_is_stored_if_two_instances_found_one_crash_each() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    deployment.apply_manifest(Revision(0)).await;
    let instances = deployment.start_instances(2).await;
    let apps: Vec<_> = instances.iter().map(|i| i.app.clone()).collect();
    wait_acquainted(&apps).await;
    let [first, second] =
        ["e0", "e1"].map(|engine| Crash { engine: engine.parse().unwrap(), boot: Incarnation(1) });
    let request = [Fingerprint(7).into()];
    tokio::join!(report_crash(&apps[0], &request, first), report_crash(&apps[1], &request, second),);
    let stored = || deployment.kv.value("quarantine").is_some();
    eventually("the quarantine is stored", stored).await;
}

/// Crash of an engine, number `boot` of several.
fn crash(boot: u64) -> Crash {
    Crash { engine: "e0".parse().unwrap(), boot: Incarnation(boot) }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_on_a_quarantined_part_lifts_its_quarantine_everywhere() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    deployment.apply_manifest(Revision(0)).await;
    let instances = deployment.start_instances(2).await;
    let apps: Vec<_> = instances.iter().map(|i| i.app.clone()).collect();
    wait_acquainted(&apps).await;
    let part = PrefixHash(7);
    for boot in 0..3 {
        report_crash(&apps[0], &[part.into()], crash(boot)).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let known = || apps.iter().all(|a| a.quarantine().quarantined() == 1);
    eventually("both instances know", known).await;
    let stored = || deployment.kv.value("quarantine").is_some_and(|v| v.contains("\"part\":true"));
    eventually("the quarantine is stored", stored).await;
    clear_blame(&apps[1], &[part.into()], ReportedBy::Target);
    let lifted = || apps.iter().all(|a| a.quarantine().is_empty());
    eventually("it is lifted at both", lifted).await;
    let removed = || deployment.kv.value("quarantine").is_some_and(|v| v == "[]");
    eventually("it is removed from the store", removed).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn part_answered_at_one_instance_is_not_blamed_by_another() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    deployment.apply_manifest(Revision(0)).await;
    let instances = deployment.start_instances(2).await;
    let apps: Vec<_> = instances.iter().map(|i| i.app.clone()).collect();
    wait_acquainted(&apps).await;
    let part = PrefixHash(7);
    clear_blame(&apps[1], &[part.into()], ReportedBy::Target);
    report_crash(&apps[0], &[part.into()], crash(1)).await;
    let cleared = || apps.iter().all(|a| a.quarantine().is_empty());
    eventually("the part is cleared at the instance that blamed it", cleared).await;
    assert!(apps[0].quarantine().is_cleared(part.into(), apps[0].now()));
}

/// Guards against crashes of a request that come back by gossip, a pull or the store after a target has
/// answered it at another instance.
#[tokio::test(flavor = "multi_thread")]
async fn answer_to_a_quarantined_request_lifts_its_quarantine_for_good() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    deployment.apply_manifest(Revision(0)).await;
    let instances = deployment.start_instances(2).await;
    let apps: Vec<_> = instances.iter().map(|i| i.app.clone()).collect();
    wait_acquainted(&apps).await;
    let request = [Fingerprint(7).into()];
    for boot in 0..2 {
        report_crash(&apps[0], &request, crash(boot)).await;
    }
    let known = || apps.iter().all(|a| a.quarantine().quarantined() == 1);
    eventually("both instances know", known).await;
    let stored = || deployment.kv.value("quarantine").is_some_and(|v| v.contains("\"boot\":1"));
    eventually("the quarantine is stored", stored).await;
    clear_blame(&apps[1], &request, ReportedBy::Target);
    let lifted = || apps.iter().all(|a| a.quarantine().is_empty());
    eventually("it is lifted at both", lifted).await;
    let removed = || deployment.kv.value("quarantine").is_some_and(|v| v == "[]");
    eventually("it is removed from the store", removed).await;
    // Heartbeats carry gossip and digests meanwhile.
    for _ in 0..20 {
        sleep(Duration::from_millis(100)).await;
        assert!(lifted(), "a crash came back");
    }
}
