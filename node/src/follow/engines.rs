use {
    crate::{
        app::App,
        ports::{EngineError, LoadReport},
    },
    lentil_core::{clock::Time, ids::EngineId, mesh::Update},
    std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Time between two reads of an engine's load.
const PERIOD: Duration = Duration::from_millis(250);
/// Reads of the load for each read of the cache events.
const CACHE_EVERY: u32 = 2;

/// Follows the load and the cache events of each engine of the manifest.
pub async fn follow_engines(app: Arc<App>) {
    let mut followed: HashSet<(EngineId, SocketAddr)> = HashSet::new();
    loop {
        let now: HashSet<(EngineId, SocketAddr)> =
            app.fleet().engines.iter().map(|e| (e.id.clone(), e.address)).collect();
        for (id, address) in now.difference(&followed) {
            tokio::spawn(follow_one(app.clone(), id.clone(), *address));
        }
        followed = now;
        sleep(PERIOD).await;
    }
}

async fn follow_one(app: Arc<App>, id: EngineId, address: SocketAddr) {
    let mut turn = 0;
    // Ends when the manifest names the engine no more, or at another address.
    while app.fleet().engine(&id).is_some_and(|e| e.address == address) {
        let sent = app.now();
        let report = app.ports.engines.load(address).await;
        take(&app, &id, report, sent);
        if turn % CACHE_EVERY == 0 {
            follow_cache(&app, &id, address).await;
        }
        turn += 1;
        sleep(PERIOD).await;
    }
}

fn take(app: &App, id: &EngineId, report: Result<LoadReport, EngineError>, sent: Time) {
    let mut fleet = app.fleet();
    let Some(engine) = fleet.engine(id) else { return };
    let report = match report {
        Ok(report) => report,
        Err(EngineError::NotSent(_)) => return engine.breaker.trip(app.clock.now()),
        Err(_) => return,
    };
    let restarted = engine.boot != report.boot;
    engine.boot = report.boot;
    engine.role = report.role;
    engine.unavailable = report.changing;
    engine.adapters = report.adapters.into_iter().collect();
    // The age is counted from before the question, so that no send is taken for reported.
    let taken = Time::from_micros(sent.as_micros().saturating_sub(report.age.0 * 1_000));
    engine.load.reported(report.load, taken);
    let news = report.leaving && !engine.leaving;
    engine.leaving |= report.leaving;
    if restarted {
        engine.leaving = report.leaving;
        // A new process has not failed yet.
        engine.breaker.succeeded();
        app.cache().forget(id);
    }
    drop(fleet);
    if news {
        app.view().queue_update(Update::Leaving { engine: id.clone(), boot: report.boot });
    }
}

async fn follow_cache(app: &App, id: &EngineId, address: SocketAddr) {
    let from = app.cache().next_event(id);
    let Ok(events) = app.ports.engines.cache_events(address, from).await else { return };
    let mut cache = app.cache();
    for event in &events {
        cache.apply(id, event);
    }
}
