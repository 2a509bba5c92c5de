//! Streams that stay complete when engines or connections fail, and resumes on another instance.

use {
    lentil_core::ids::{Millis, Revision},
    lentil_fakes::{
        client::{CallOutcome, Caller, CompletionRequest, Event, StreamReply},
        deployment::{Deployment, DeploymentSetup, Instance, CAMERA_KEY, DESK_KEY},
        engine::{expected_answer, EngineFaults, EngineSetup},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// Tokens of each answer.
const TOKENS: u32 = 60;

fn completion(text: &str) -> CompletionRequest {
    CompletionRequest {
        model: "groot".into(),
        prompt: text.into(),
        max_tokens: TOKENS,
        stream: true,
    }
}

async fn start_deployment(engines: usize, instances: usize) -> (Deployment, Vec<Instance>) {
    let engine =
        EngineSetup { token_interval: Duration::from_millis(20), ..EngineSetup::default() };
    let setup = DeploymentSetup { engines: vec![engine; engines], ..DeploymentSetup::default() };
    let deployment = Deployment::start(setup).await;
    deployment.apply_manifest(Revision(0)).await;
    let instances = deployment.start_instances(instances).await;
    (deployment, instances)
}

fn addresses(instances: &[Instance]) -> Vec<SocketAddr> {
    instances.iter().map(Instance::address).collect()
}

/// Streams `count` completions concurrently; returns outcome and expected text of each.
async fn stream_all(addresses: &[SocketAddr], count: usize) -> Vec<(CallOutcome, String)> {
    let mut tasks = JoinSet::new();
    for i in 0..count {
        let (balancer, request) = (addresses.to_vec(), completion(&format!("fireball {i}")));
        tasks.spawn(async move {
            let limit = Duration::from_secs(30);
            let outcome =
                Caller::new(CAMERA_KEY).stream_with_retries(&balancer, &request, limit).await;
            (outcome, expected_answer(&request.prompt, "", TOKENS))
        });
    }
    tasks.join_all().await
}

fn check_complete(outcomes: Vec<(CallOutcome, String)>) {
    for (outcome, expected) in outcomes {
        assert_eq!(outcome, CallOutcome::Complete(expected));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_continues_on_another_engine_after_a_crash() {
    let (deployment, instances) = start_deployment(4, 2).await;
    let crashes = async {
        sleep(Duration::from_millis(500)).await;
        deployment.engines[0].crash();
        sleep(Duration::from_millis(300)).await;
        deployment.engines[1].crash();
        deployment.engines[0].restart().await;
    };
    let addresses = addresses(&instances);
    let (outcomes, ()) = tokio::join!(stream_all(&addresses, 24), crashes);
    check_complete(outcomes);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_drops_misattributed_repeated_and_cut_chunks() {
    let faults = [
        ("misattributed", EngineFaults { misattribute_every: 17, ..EngineFaults::default() }),
        ("repeated", EngineFaults { duplicate_every: 13, ..EngineFaults::default() }),
        ("cut", EngineFaults { close_after: 25, ..EngineFaults::default() }),
    ];
    for (name, fault) in faults {
        let (deployment, instances) = start_deployment(4, 1).await;
        deployment.engines[0].faults.update(|f| *f = fault.clone());
        deployment.engines[1].faults.update(|f| *f = fault);
        let outcomes = stream_all(&addresses(&instances), 16).await;
        let wrong = outcomes
            .iter()
            .filter(|(outcome, expected)| *outcome != CallOutcome::Complete(expected.clone()))
            .count();
        assert_eq!(
            wrong,
            0,
            "{name}: {:?}",
            outcomes
                .iter()
                .find(|(outcome, expected)| *outcome != CallOutcome::Complete(expected.clone()))
        );
    }
}

async fn first_events(caller: &Caller, address: SocketAddr, count: usize) -> Vec<Event> {
    let StreamReply::Events(mut events) =
        caller.stream_completion(address, &completion("long tour")).await.unwrap()
    else {
        panic!("the stream was refused");
    };
    let mut seen = Vec::new();
    while seen.len() < count {
        seen.push(events.next().await.expect("the stream continues"));
    }
    seen
}

#[tokio::test(flavor = "multi_thread")]
async fn another_instance_resumes_a_stream_for_its_caller_only() {
    let (_deployment, instances) = start_deployment(2, 2).await;
    let (camera, desk) = (Caller::new(CAMERA_KEY), Caller::new(DESK_KEY));
    let seen = first_events(&camera, instances[0].address(), 10).await;
    let last = seen.last().unwrap();
    let other = instances[1].address();
    let StreamReply::Refused(reply) =
        desk.resume_stream(other, last.stream_id(), &last.id).await.unwrap()
    else {
        panic!("another caller may read the stream");
    };
    assert_eq!((reply.status, reply.field("/error/code").as_str()), (410, "stream-gone"));
    let mut altered = last.stream_id().to_owned();
    altered.replace_range(0..1, if altered.starts_with('0') { "1" } else { "0" });
    let forged = camera.resume_stream(other, &altered, &last.id).await.unwrap();
    assert!(matches!(forged, StreamReply::Refused(r) if r.status == 410));
    let StreamReply::Events(mut rest) =
        camera.resume_stream(other, last.stream_id(), &last.id).await.unwrap()
    else {
        panic!("the stream was not resumed");
    };
    let mut text: String = seen.iter().map(Event::text).collect();
    while let Some(event) = rest.next().await {
        if event.is_done() {
            break;
        }
        text.push_str(&event.text());
    }
    assert_eq!(text, expected_answer("long tour", "", TOKENS));
}

#[tokio::test(flavor = "multi_thread")]
async fn completion_ends_as_unknown_when_its_only_engine_crashes() {
    let engine =
        EngineSetup { token_interval: Duration::from_millis(20), ..EngineSetup::default() };
    let mut deployment =
        Deployment::start(DeploymentSetup { engines: vec![engine], ..DeploymentSetup::default() })
            .await;
    for class in deployment.manifest.classes.values_mut() {
        class.first = Millis(2_000);
        class.deadline = Millis(4_000);
    }
    deployment.apply_manifest(Revision(0)).await;
    let instances = deployment.start_instances(1).await;
    let address = instances[0].address();
    let request = CompletionRequest { stream: false, ..completion("lost report") };
    let crash = async {
        sleep(Duration::from_millis(400)).await;
        deployment.engines[0].crash();
    };
    let caller = Caller::new(CAMERA_KEY);
    let (reply, ()) = tokio::join!(caller.complete(address, &request), crash);
    let reply = reply.unwrap();
    assert_eq!(reply.header("lentil-outcome"), "unknown", "{}", reply.body);
    let again = CompletionRequest { prompt: "another report".into(), ..request };
    let again = caller.complete(address, &again).await.unwrap();
    assert_eq!(again.header("lentil-outcome"), "not-run", "{}", again.body);
    assert!(!again.header("retry-after").is_empty());
}
