use {
    super::{
        offers::{ask_once, collect_offers, Replies},
        probe::{probe, sample, Probed},
    },
    crate::app::App,
    futures_util::{
        future::{BoxFuture, Shared},
        FutureExt,
    },
    lentil_core::{
        ids::ModelId,
        reach::{ReachChange, ReachCheck},
    },
    std::{collections::HashMap, pin::pin, sync::Arc},
};

/// Most targets that are asked in one check.
const MAX_PROBED: usize = 16;
/// Targets that are asked first whether they are reached again.
const RETURN_PROBES: usize = 4;

type PendingCheck = Shared<BoxFuture<'static, ()>>;

/// Checks in progress, by service.
#[derive(Default)]
pub struct ReachChecks(HashMap<ModelId, PendingCheck>);

/// Begins to check whether this instance reaches a service, or joins the check in progress.
pub fn begin_check(app: &Arc<App>, service: &ModelId) -> PendingCheck {
    let now = app.now();
    let mut checks = app.reach_checks();
    checks.0.retain(|_, check| check.peek().is_none());
    if let Some(check) = checks.0.get(service) {
        return check.clone();
    }
    app.reach().of(service).begin_check(now);
    let check = {
        let (app, service) = (app.clone(), service.clone());
        async move { check_all(&app, &service).await }.boxed().shared()
    };
    checks.0.insert(service.clone(), check.clone());
    tokio::spawn(check.clone());
    check
}

/// Returns the check of a service that is in progress, if there is one.
pub fn running_check(app: &App, service: &ModelId) -> Option<PendingCheck> {
    app.reach_checks().0.get(service).filter(|check| check.peek().is_none()).cloned()
}

/// Asks all targets for a report, and other instances whether they reach any. The first answer of a
/// target ends the check.
async fn check_all(app: &App, service: &ModelId) {
    let targets = sample(app, service, MAX_PROBED);
    let mut probing = pin!(probe(app, service, &targets, 1));
    let mut offers = pin!(collect_offers(app, service));
    let (probed, replies) = tokio::select! {
        probed = probing.as_mut() => {
            // A target that has answered ends the check.
            let replies = if probed.answered.is_empty() { offers.await } else { Replies::NoneAsked };
            (probed, replies)
        }
        replies = offers.as_mut() => (probing.await, replies),
    };
    record(app, service, &probed, replies);
}

/// Looks whether an instance that is cut off from a service reaches it again.
pub(super) async fn check_return(app: &App, service: &ModelId) {
    let first = sample(app, service, RETURN_PROBES);
    let (probed, replies) =
        tokio::join!(probe(app, service, &first, RETURN_PROBES), ask_once(app, service));
    if probed.answered.is_empty() {
        return record(app, service, &probed, replies);
    }
    let targets = sample(app, service, MAX_PROBED);
    let probed = probe(app, service, &targets, targets.len()).await;
    record(app, service, &probed, replies);
}

/// Records the result of a check, and what follows from it.
fn record(app: &App, service: &ModelId, probed: &Probed, replies: Replies) {
    let now = app.now();
    let (check, relays, change, lost) = {
        let mut reach = app.reach();
        let state = reach.of(service);
        let (asked, answered) = (probed.asked, probed.answered.len());
        let others = state.relays.most_targets(now);
        let alone = replies == Replies::Nothing;
        let check = ReachCheck { asked, answered, others, alone };
        let change = state.record_check(&check, now);
        (check, state.relays.count_valid(now), change, state.has_lost_requests())
    };
    let ReachCheck { asked, answered, others, .. } = check;
    match change {
        Some(ReachChange::CutOff) => {
            log::warn!(
                "reach: service={service} cut_off=yes targets={asked} answered=0 relays={relays} reached_by_others={others} lost_requests={lost}"
            );
            app.reach_changed.send_modify(|count| *count += 1);
        }
        Some(ReachChange::Back(after)) => {
            let ms = after.as_millis();
            log::warn!(
                "reach: service={service} cut_off=no targets={asked} answered={answered} after_ms={ms}"
            );
            let mut fleet = app.fleet();
            for id in &probed.answered {
                if let Some(engine) = fleet.engine(id) {
                    engine.breaker.record_success();
                }
            }
        }
        Some(ReachChange::Outage) => {
            log::warn!("reach: service={service} cut_off=no targets={asked} answered=0 relays=0");
        }
        None if answered == 0 && others == 0 => {
            log::info!(
                "reach: service={service} checked targets={asked} answered=0 relays={relays}"
            );
        }
        None => {}
    }
}
