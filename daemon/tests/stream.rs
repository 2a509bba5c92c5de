//! Whole answers while engines, connections and instances fail.

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

const TOKENS: u32 = 60;

fn prompt(text: &str) -> CompletionRequest {
    CompletionRequest {
        model: "groot".into(),
        prompt: text.into(),
        max_tokens: TOKENS,
        stream: true,
    }
}

async fn site(engines: usize, instances: usize) -> (Deployment, Vec<Instance>) {
    let engine =
        EngineSetup { token_interval: Duration::from_millis(20), ..EngineSetup::default() };
    let setup = DeploymentSetup { engines: vec![engine; engines], ..DeploymentSetup::default() };
    let site = Deployment::start(setup).await;
    site.apply_manifest(Revision(0)).await;
    let instances = site.start_instances(instances).await;
    (site, instances)
}

fn addresses(instances: &[Instance]) -> Vec<SocketAddr> {
    instances.iter().map(Instance::address).collect()
}

/// Streams `count` answers at once; how each ended, with the text that it should have.
async fn stream_all(addresses: &[SocketAddr], count: usize) -> Vec<(CallOutcome, String)> {
    let mut tasks = JoinSet::new();
    for i in 0..count {
        let (balancer, ask) = (addresses.to_vec(), prompt(&format!("fireball {i}")));
        tasks.spawn(async move {
            let limit = Duration::from_secs(30);
            let ended = Caller::new(CAMERA_KEY).stream_with_retries(&balancer, &ask, limit).await;
            (ended, expected_answer(&ask.prompt, "", TOKENS))
        });
    }
    tasks.join_all().await
}

fn check_whole(ended: Vec<(CallOutcome, String)>) {
    for (ended, want) in ended {
        assert_eq!(ended, CallOutcome::Complete(want));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_elsewhere_when_its_engine_crashes() {
    let (site, instances) = site(4, 2).await;
    let crashes = async {
        sleep(Duration::from_millis(500)).await;
        site.engines[0].crash();
        sleep(Duration::from_millis(300)).await;
        site.engines[1].crash();
        site.engines[0].restart().await;
    };
    let addresses = addresses(&instances);
    let (ended, ()) = tokio::join!(stream_all(&addresses, 24), crashes);
    check_whole(ended);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_passes_no_crossed_repeated_or_cut_chunk() {
    let faults = [
        ("crossed", EngineFaults { misattribute_every: 17, ..EngineFaults::default() }),
        ("repeated", EngineFaults { duplicate_every: 13, ..EngineFaults::default() }),
        ("cut", EngineFaults { close_after: 25, ..EngineFaults::default() }),
    ];
    for (name, fault) in faults {
        let (site, instances) = site(4, 1).await;
        site.engines[0].faults.update(|f| *f = fault.clone());
        site.engines[1].faults.update(|f| *f = fault);
        let ended = stream_all(&addresses(&instances), 16).await;
        let wrong =
            ended.iter().filter(|(e, want)| *e != CallOutcome::Complete(want.clone())).count();
        assert_eq!(
            wrong,
            0,
            "{name}: {:?}",
            ended.iter().find(|(e, w)| *e != CallOutcome::Complete(w.clone()))
        );
    }
}

async fn first_events(caller: &Caller, at: SocketAddr, count: usize) -> Vec<Event> {
    let StreamReply::Events(mut events) =
        caller.stream_completion(at, &prompt("long tour")).await.unwrap()
    else {
        panic!("the stream was refused");
    };
    let mut seen = Vec::new();
    while seen.len() < count {
        seen.push(events.next().await.expect("the stream goes on"));
    }
    seen
}

#[tokio::test(flavor = "multi_thread")]
async fn resume_by_another_instance_for_the_same_caller_only() {
    let (_site, instances) = site(2, 2).await;
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
async fn complete_fails_as_unknown_when_no_engine_is_left() {
    let engine =
        EngineSetup { token_interval: Duration::from_millis(20), ..EngineSetup::default() };
    let mut site =
        Deployment::start(DeploymentSetup { engines: vec![engine], ..DeploymentSetup::default() })
            .await;
    for class in site.manifest.classes.values_mut() {
        class.first = Millis(2_000);
        class.deadline = Millis(4_000);
    }
    site.apply_manifest(Revision(0)).await;
    let instances = site.start_instances(1).await;
    let at = instances[0].address();
    let ask = CompletionRequest { stream: false, ..prompt("lost report") };
    let crash = async {
        sleep(Duration::from_millis(400)).await;
        site.engines[0].crash();
    };
    let caller = Caller::new(CAMERA_KEY);
    let (reply, ()) = tokio::join!(caller.complete(at, &ask), crash);
    let reply = reply.unwrap();
    assert_eq!(reply.header("lentil-outcome"), "unknown", "{}", reply.body);
    let again = CompletionRequest { prompt: "another report".into(), ..ask };
    let again = caller.complete(at, &again).await.unwrap();
    assert_eq!(again.header("lentil-outcome"), "not-run", "{}", again.body);
    assert!(!again.header("retry-after").is_empty());
}
