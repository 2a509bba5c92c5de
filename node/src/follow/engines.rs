use {
    crate::{
        app::App,
        ports::{EngineError, LoadReport},
    },
    lentil_core::{clock::Time, ids::EngineId, mesh::Update},
    std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Interval between two reads of an engine's load.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);
/// Number of load reads for each read of the cache events.
const LOADS_PER_CACHE_READ: u32 = 2;

/// Follows the load and the cache events of each engine of the manifest, in one task per engine.
pub async fn follow_engines(app: Arc<App>) {
    let mut followed: HashSet<(EngineId, SocketAddr)> = HashSet::new();
    loop {
        let current: HashSet<(EngineId, SocketAddr)> =
            app.fleet().engines.iter().map(|e| (e.id.clone(), e.address)).collect();
        for (id, address) in current.difference(&followed) {
            tokio::spawn(follow_engine(app.clone(), id.clone(), *address));
        }
        followed = current;
        sleep(LOAD_INTERVAL).await;
    }
}

async fn follow_engine(app: Arc<App>, id: EngineId, address: SocketAddr) {
    let mut round = 0;
    // Ends when the manifest no longer names the engine, or names it at another address.
    while app.fleet().engine(&id).is_some_and(|e| e.address == address) {
        let requested = app.now();
        let report = app.ports.engines.load(address).await;
        apply_load_report(&app, &id, report, requested);
        if round % LOADS_PER_CACHE_READ == 0 {
            read_cache_events(&app, &id, address).await;
        }
        round += 1;
        sleep(LOAD_INTERVAL).await;
    }
}

fn apply_load_report(
    app: &App,
    id: &EngineId,
    report: Result<LoadReport, EngineError>,
    requested: Time,
) {
    let mut fleet = app.fleet();
    let Some(engine) = fleet.engine(id) else { return };
    let report = match report {
        Ok(report) => report,
        Err(error) if error.not_sent() => return engine.breaker.trip(app.clock.now()),
        Err(_) => return,
    };
    let restarted = engine.boot != report.boot;
    engine.boot = report.boot;
    engine.role = report.role;
    engine.unavailable = report.changing;
    engine.adapters = report.adapters.into_iter().collect();
    // The age is subtracted from the time of the request, not of the reply: otherwise work sent in
    // between could count as already reported.
    let taken_at = Time::from_micros(requested.as_micros().saturating_sub(report.age.0 * 1_000));
    engine.load.record_report(report.load, taken_at);
    let newly_leaving = report.leaving && !engine.leaving;
    engine.leaving |= report.leaving;
    if restarted {
        engine.leaving = report.leaving;
        // Failures of the old process say nothing about the new one.
        engine.breaker.record_success();
        app.cache_index().remove_engine(id);
    }
    drop(fleet);
    if newly_leaving {
        app.member_view().queue_update(Update::Leaving { engine: id.clone(), boot: report.boot });
    }
}

async fn read_cache_events(app: &App, id: &EngineId, address: SocketAddr) {
    let from = app.cache_index().next_event(id);
    let Ok(events) = app.ports.engines.cache_events(address, from).await else { return };
    let mut cache = app.cache_index();
    for event in &events {
        cache.apply(id, event);
    }
}
