use {
    super::status,
    crate::{
        app::App,
        front::{json_response, text_response},
        http::Body,
    },
    hyper::Response,
    lentil_core::{clock::Time, fleet::EngineView, ids::EngineId, manifest::Role},
    std::collections::BTreeSet,
};

/// Size of a memory page on the systems that instances run on.
const PAGE_BYTES: i64 = 4_096;

/// Answers the health, metrics and status paths; returns `None` for all others.
pub fn probe(app: &App, path: &str) -> Option<Response<Body>> {
    match path {
        "/livez" => Some(text_response(200, "live\n")),
        "/readyz" if app.ready() => Some(text_response(200, "ready\n")),
        "/readyz" => Some(text_response(503, "not ready\n")),
        "/metrics" => Some(metrics_response(app)),
        "/status" => Some(json_response(200, &status(app))),
        _ => None,
    }
}

/// Returns the resident memory in bytes, or zero where the system does not report it.
fn resident_bytes() -> i64 {
    let pages = std::fs::read_to_string("/proc/self/statm").ok();
    let pages = pages.and_then(|t| t.split(' ').nth(1)?.parse::<i64>().ok());
    pages.map_or(0, |p| p * PAGE_BYTES)
}

/// Counts the engines of each service by role and availability.
fn update_service_engines(app: &App, now: Time) {
    let gauge = &app.metrics.service_engines;
    gauge.reset();
    for engine in &app.fleet().engines {
        let (role, state) = (engine.role.to_string(), engine.availability(now).label());
        gauge.with_label_values(&[engine.model.as_str(), &role, state]).inc();
    }
}

/// Updates the gauges that are read on demand and returns all metrics.
fn metrics_response(app: &App) -> Response<Body> {
    for role in [Role::Prefill, Role::Decode] {
        let count = app.fleet().count(role) as i64;
        app.metrics.roles.with_label_values(&[&role.to_string()]).set(count);
    }
    let now = app.now();
    update_service_engines(app, now);
    let (members, size, dropped) = {
        let view = app.member_view();
        (view.live().count(), view.fleet_size(now), view.dropped_updates())
    };
    let (known, ejected, limited, [leaving, held], age) = {
        let fleet = app.fleet();
        let known: BTreeSet<EngineId> = fleet.engines.iter().map(|e| e.id.clone()).collect();
        let ejected = fleet.engines.iter().filter(|e| !e.breaker.allows(now)).count();
        let limited = fleet.engines.iter().filter(|e| e.limit.rate().is_some()).count();
        let count = |of: &dyn Fn(&EngineView) -> bool| {
            fleet.engines.iter().filter(|e| of(e)).count() as i64
        };
        let states = [count(&|e| e.leaving), count(&|e| e.is_held(now))];
        (known, ejected, limited, states, (now - fleet.last_read).as_millis())
    };
    app.metrics.cut_services.set(app.reach().count_cut_off() as i64);
    app.metrics.known_targets.set(known.len() as i64);
    app.metrics.ejected_targets.set(ejected as i64);
    app.metrics.limited_targets.set(limited as i64);
    app.metrics.leaving_targets.set(leaving);
    app.metrics.held_targets.set(held);
    app.metrics.directory_age.set(age as i64);
    let routes_age = app.table_freshness().age(app.now());
    app.metrics.routes_age.set(i64::try_from(routes_age.as_millis()).unwrap_or(-1));
    app.metrics.retain_targets(|target| known.contains(target));
    app.metrics.resends_left.set(app.admission().resends_left(size, now));
    app.metrics.resident_bytes.set(resident_bytes());
    app.metrics.intake.update_bodies(&app.memory.usage());
    for connections in app.connections.all() {
        app.metrics.intake.update_connections(connections);
    }
    app.metrics.members.set(members as i64);
    let (suspects, quarantined, parts) = {
        let quarantine = app.quarantine();
        (quarantine.len(), quarantine.quarantined(), quarantine.quarantined_part_count())
    };
    app.metrics.quarantined_parts.set(parts as i64);
    app.metrics.suspects.set(suspects as i64);
    app.metrics.quarantined.set(quarantined as i64);
    app.metrics.dropped_updates.set(dropped as i64);
    text_response(200, app.metrics.encode())
}
