use {
    super::status,
    crate::{
        app::App,
        front::{json, text},
        http::Body,
    },
    hyper::Response,
    lentil_core::{ids::EngineId, manifest::Role},
    std::collections::BTreeSet,
};

/// Bytes of a page of memory on the systems that instances run on.
const PAGE: i64 = 4_096;

/// Answers what the platform and operators ask; `None` for all other paths.
pub fn probe(app: &App, path: &str) -> Option<Response<Body>> {
    match path {
        "/livez" => Some(text(200, "live\n")),
        "/readyz" if app.ready() => Some(text(200, "ready\n")),
        "/readyz" => Some(text(503, "not ready\n")),
        "/metrics" => Some(metrics(app)),
        "/status" => Some(json(200, &status(app))),
        _ => None,
    }
}

/// Bytes of memory in use; zero where the system does not tell.
fn resident() -> i64 {
    let pages = std::fs::read_to_string("/proc/self/statm").ok();
    let pages = pages.and_then(|t| t.split(' ').nth(1)?.parse::<i64>().ok());
    pages.map_or(0, |p| p * PAGE)
}

fn metrics(app: &App) -> Response<Body> {
    for role in [Role::Prefill, Role::Decode] {
        let count = app.fleet().count(role) as i64;
        app.metrics.roles.with_label_values(&[&role.to_string()]).set(count);
    }
    let now = app.now();
    let members = app.view().live().count();
    let (lives, shut, age) = {
        let fleet = app.fleet();
        let lives: BTreeSet<EngineId> = fleet.engines.iter().map(|e| e.id.clone()).collect();
        let shut = fleet.engines.iter().filter(|e| !e.breaker.allows(now)).count();
        (lives, shut, (now - fleet.last_read).as_millis())
    };
    app.metrics.known_targets.set(lives.len() as i64);
    app.metrics.ejected_targets.set(shut as i64);
    app.metrics.directory_age.set(age as i64);
    app.metrics.retain_targets(|target| lives.contains(target));
    app.metrics.resends_left.set(app.admission().resends_left(members as u32 + 1, now));
    app.metrics.resident_bytes.set(resident());
    app.metrics.members.set(members as i64);
    app.metrics.suspects.set(app.quarantine().len() as i64);
    text(200, app.metrics.encode())
}
