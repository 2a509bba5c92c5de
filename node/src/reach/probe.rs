use {
    crate::{
        app::App,
        ports::{EngineError, Target},
    },
    futures_util::{stream::FuturesUnordered, StreamExt},
    lentil_core::{
        fleet::Availability,
        ids::{EngineId, ModelId},
        manifest::Role,
        poison::Verdict,
    },
    rand::seq::SliceRandom,
    std::time::Duration,
    tokio::time::timeout,
};

/// Time within which a target that is reached sends its report.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Result of asking targets for reports.
#[derive(Debug, Default)]
pub(super) struct Probed {
    /// Number of targets asked.
    pub asked: usize,
    /// Targets that answered.
    pub answered: Vec<EngineId>,
}

/// Returns up to `count` random targets of a service that may be asked: those that run whole requests,
/// and neither leave nor want to be left alone.
pub(super) fn sample(app: &App, service: &ModelId, count: usize) -> Vec<Target> {
    let now = app.now();
    let asked = |state| !matches!(state, Availability::Leaving | Availability::Held);
    let mut targets: Vec<Target> = {
        let fleet = app.fleet();
        let of_service = fleet.engines.iter().filter(|e| e.model == *service);
        let serving = of_service.filter(|e| e.role == Role::Decode && asked(e.availability(now)));
        serving.map(Target::from_view).collect()
    };
    targets.shuffle(&mut rand::thread_rng());
    targets.truncate(count);
    targets
}

/// Asks targets of a service for reports, on new connections, until `enough` have answered.
pub(super) async fn probe(
    app: &App,
    service: &ModelId,
    targets: &[Target],
    enough: usize,
) -> Probed {
    let mut reports: FuturesUnordered<_> = targets.iter().map(|t| answers(app, t)).collect();
    let mut probed = Probed::default();
    while let Some((target, answered)) = reports.next().await {
        match answered {
            Some(true) => {
                probed.answered.push(target.id.clone());
                app.reach().of(service).record_sign(app.now());
            }
            Some(false) => {}
            None => continue,
        }
        probed.asked += 1;
        if probed.answered.len() >= enough {
            break;
        }
    }
    probed
}

/// Asks some targets of a service for reports until one answers.
pub async fn probe_some(app: &App, service: &ModelId, count: usize) {
    let targets = sample(app, service, count);
    probe(app, service, &targets, 1).await;
}

/// Asks a target once for a report. A broken connection alone is not a crash.
pub async fn probe_target(app: &App, target: &Target) -> Verdict {
    let check = || app.check_control(target);
    match app.ports.engines.report(target, &check).await {
        // The target wants no requests, so only its port is looked at.
        Err(EngineError::Denied(_)) => match app.ports.engines.listens(target).await {
            true => Verdict::Alive,
            false => Verdict::Refusing,
        },
        Ok(report) if target.may_be(report.boot) => Verdict::Alive,
        Ok(_) => Verdict::Replaced,
        Err(EngineError::NotSent(_)) => Verdict::Refusing,
        Err(_) => Verdict::Silent,
    }
}

/// Returns whether a target answers, with any response; `None` if it may not be asked now.
async fn answers<'a>(app: &App, target: &'a Target) -> (&'a Target, Option<bool>) {
    let check = || app.check_control(target);
    let report = timeout(PROBE_TIMEOUT, app.ports.engines.report(target, &check)).await;
    let answered = match report {
        Ok(Ok(_)) => Some(true),
        Ok(Err(EngineError::Denied(_))) => None,
        Ok(Err(EngineError::Refused(_) | EngineError::Misdirected | EngineError::Malformed(_))) => {
            Some(true)
        }
        Ok(Err(_)) | Err(_) => Some(false),
    };
    (target, answered)
}
