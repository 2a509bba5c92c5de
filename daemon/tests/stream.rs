//! Whole answers while engines, connections and instances fail.

use {
    lentil_core::ids::{Millis, Revision},
    lentil_fakes::{
        client::{Caller, Ended, Event, Opened, Prompt},
        engine::{answer, EngineFaults, EngineSetup},
        site::{Instance, Site, SiteSetup, CAMERA, DESK},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

const TOKENS: u32 = 60;

fn prompt(text: &str) -> Prompt {
    Prompt { model: "groot".into(), prompt: text.into(), max_tokens: TOKENS, stream: true }
}

async fn site(engines: usize, instances: usize) -> (Site, Vec<Instance>) {
    let engine = EngineSetup { step: Duration::from_millis(20), ..EngineSetup::default() };
    let setup = SiteSetup { engines: vec![engine; engines], ..SiteSetup::default() };
    let site = Site::start(setup).await;
    site.apply(Revision(0)).await;
    let instances = site.instances(instances).await;
    (site, instances)
}

fn addresses(instances: &[Instance]) -> Vec<SocketAddr> {
    instances.iter().map(Instance::address).collect()
}

/// Streams `count` answers at once; how each ended, with the text that it should have.
async fn stream_all(addresses: &[SocketAddr], count: usize) -> Vec<(Ended, String)> {
    let mut tasks = JoinSet::new();
    for i in 0..count {
        let (balancer, ask) = (addresses.to_vec(), prompt(&format!("fireball {i}")));
        tasks.spawn(async move {
            let limit = Duration::from_secs(30);
            let ended = Caller::new(CAMERA).stream_whole(&balancer, &ask, limit).await;
            (ended, answer(&ask.prompt, "", TOKENS))
        });
    }
    tasks.join_all().await
}

fn check_whole(ended: Vec<(Ended, String)>) {
    for (ended, want) in ended {
        assert_eq!(ended, Ended::Whole(want));
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
        ("crossed", EngineFaults { cross: 17, ..EngineFaults::default() }),
        ("repeated", EngineFaults { repeat: 13, ..EngineFaults::default() }),
        ("cut", EngineFaults { cut: 25, ..EngineFaults::default() }),
    ];
    for (name, fault) in faults {
        let (site, instances) = site(4, 1).await;
        site.engines[0].faults.set(|f| *f = fault.clone());
        site.engines[1].faults.set(|f| *f = fault);
        let ended = stream_all(&addresses(&instances), 16).await;
        let wrong = ended.iter().filter(|(e, want)| *e != Ended::Whole(want.clone())).count();
        assert_eq!(
            wrong,
            0,
            "{name}: {:?}",
            ended.iter().find(|(e, w)| *e != Ended::Whole(w.clone()))
        );
    }
}

async fn first_events(caller: &Caller, at: SocketAddr, count: usize) -> Vec<Event> {
    let Opened::Events(mut events) = caller.stream(at, &prompt("long tour")).await.unwrap() else {
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
    let (camera, desk) = (Caller::new(CAMERA), Caller::new(DESK));
    let seen = first_events(&camera, instances[0].address(), 10).await;
    let last = seen.last().unwrap();
    let other = instances[1].address();
    let Opened::Refused(reply) = desk.resume(other, last.stream(), &last.id).await.unwrap() else {
        panic!("another caller may read the stream");
    };
    assert_eq!((reply.status, reply.field("/error/code").as_str()), (410, "stream-gone"));
    let mut altered = last.stream().to_owned();
    altered.replace_range(0..1, if altered.starts_with('0') { "1" } else { "0" });
    let forged = camera.resume(other, &altered, &last.id).await.unwrap();
    assert!(matches!(forged, Opened::Refused(r) if r.status == 410));
    let Opened::Events(mut rest) = camera.resume(other, last.stream(), &last.id).await.unwrap()
    else {
        panic!("the stream was not resumed");
    };
    let mut text: String = seen.iter().map(Event::text).collect();
    while let Some(event) = rest.next().await {
        if event.done() {
            break;
        }
        text.push_str(&event.text());
    }
    assert_eq!(text, answer("long tour", "", TOKENS));
}

#[tokio::test(flavor = "multi_thread")]
async fn complete_fails_as_unknown_when_no_engine_is_left() {
    let engine = EngineSetup { step: Duration::from_millis(20), ..EngineSetup::default() };
    let mut site = Site::start(SiteSetup { engines: vec![engine], ..SiteSetup::default() }).await;
    for class in site.manifest.classes.values_mut() {
        class.first = Millis(2_000);
        class.deadline = Millis(4_000);
    }
    site.apply(Revision(0)).await;
    let instances = site.instances(1).await;
    let at = instances[0].address();
    let ask = Prompt { stream: false, ..prompt("lost report") };
    let crash = async {
        sleep(Duration::from_millis(400)).await;
        site.engines[0].crash();
    };
    let caller = Caller::new(CAMERA);
    let (reply, ()) = tokio::join!(caller.complete(at, &ask), crash);
    let reply = reply.unwrap();
    assert_eq!(reply.header("lentil-outcome"), "unknown", "{}", reply.body);
    let again = Prompt { prompt: "another report".into(), ..ask };
    let again = caller.complete(at, &again).await.unwrap();
    assert_eq!(again.header("lentil-outcome"), "not-run", "{}", again.body);
    assert!(!again.header("retry-after").is_empty());
}
