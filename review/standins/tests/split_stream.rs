//! A route is split between two services; a machine is killed, and the clients take their streams up again at
//! the others.

use {
    crate::{
        deployment::{config, Deployment, Record},
        streams::{judge, read_stream, stream_route, Received},
        End,
    },
    std::{
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

const MACHINES: usize = 6;
/// Streams through the machine that is killed, and through each other one.
const STREAMS_THERE: usize = 16;
const STREAMS_ELSEWHERE: usize = 2;

pub fn run(folder: &str, trouble: bool) -> End {
    let record = Record::create(folder);
    let mut deployment = Deployment::new(MACHINES, |_| String::new());
    let services = ["huvo11a", "wuno96b"];
    for i in 0..3 {
        deployment.start_version(&format!("i-a-{i}"), services[0], "v1", 200);
        deployment.start_version(&format!("i-b-{i}"), services[1], "v2", 200);
    }
    let split = format!(
        "\"traffic_split\":[{{\"service\":\"{}\",\"weight\":50}},{{\"service\":\"{}\",\"weight\":50}}]",
        services[0], services[1]
    );
    deployment.store.put("op/config", &config(7, &stream_route(&split), &services, ""));
    deployment.instances.iter_mut().for_each(|instance| instance.start());
    if !deployment.wait_ready(MACHINES, Duration::from_secs(20)) {
        record.say("the instances were not ready within 20 s");
        return End::NotRun;
    }
    record.say("all instances are ready");
    thread::sleep(Duration::from_secs(6));
    let fronts: Vec<_> = deployment.instances.iter().map(|i| (i.machine, i.front)).collect();
    let done: Arc<Mutex<Vec<Received>>> = Arc::default();
    let mut clients = Vec::new();
    for machine in 0..MACHINES {
        let count = if machine == 0 { STREAMS_THERE } else { STREAMS_ELSEWHERE };
        for i in 0..count {
            let mut order = fronts.clone();
            order.rotate_left(machine);
            // Retries reach other nodes.
            order[1..].rotate_left(i % (MACHINES - 1));
            let (record, done) = (record.clone(), done.clone());
            clients.push(thread::spawn(move || {
                let received = read_stream(&order, machine * 100 + i, &record);
                done.lock().unwrap().push(received);
            }));
        }
    }
    thread::sleep(Duration::from_secs(2));
    if trouble {
        record.say("edge-0 is killed");
        deployment.instances[0].kill();
        thread::sleep(Duration::from_secs(1));
        deployment.instances[0].start();
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    if deployment.instances.iter_mut().any(|instance| instance.has_ended()) {
        record.say("an instance ended by itself");
        return End::Broken;
    }
    let streams = done.lock().unwrap();
    let resumed = streams.iter().any(|s| !s.resumed.is_empty());
    if resumed != trouble {
        record.say("the wrong streams broke off");
        return End::NotRun;
    }
    match judge(&streams, &record) {
        0 => End::Held,
        _ => End::Broken,
    }
}
