use {
    crate::{
        app::App,
        mesh,
        ports::{ListChanges, ListKind, ListState, ListedInstance},
    },
    lentil_core::{
        ids::{EngineId, Incarnation, InstanceId},
        limit::Backoff,
        mesh::Update,
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Interval between two reads of the list; a leaving target must be known within 3 s.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Number of reads at [`HOSTED_STARTUP_INTERVAL`] after the start, in which hosted instances find
/// each other.
const STARTUP_READS: u32 = 2;
/// Interval between these reads. Instances that start together are all listed by then.
const HOSTED_STARTUP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between later reads if this instance is hosted: the list then names instances only,
/// and new instances contact the others themselves.
const HOSTED_POLL_INTERVAL: Duration = Duration::from_secs(6);
/// Longest back-off, in addition to the interval, while the list is not available.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Follows the platform's list: contacts entry instances, and marks leaving engines and targets so
/// that they get no new work.
pub async fn follow_list(app: Arc<App>) {
    let (mut version, mut reads) = (0, 0);
    let mut entries = BTreeSet::new();
    let mut backoff = Backoff::new(POLL_INTERVAL, MAX_BACKOFF);
    loop {
        match app.ports.list.changes(version).await {
            Err(error) => {
                log::debug!("list: {error}");
                sleep(backoff.record_failure(rand::random())).await;
            }
            Ok(changes) => {
                backoff.record_success();
                version = changes.version;
                reads += 1;
                update_entries(&mut entries, &changes);
                let count = entries.len() as u32;
                app.member_view().record_listed(count, app.now());
                for listed in &changes.changed {
                    apply(&app, listed).await;
                }
            }
        }
        let interval = match app.settings.hosted {
            None => POLL_INTERVAL,
            Some(_) if reads < STARTUP_READS => HOSTED_STARTUP_INTERVAL,
            Some(_) => HOSTED_POLL_INTERVAL,
        };
        sleep(interval).await;
    }
}

/// Applies changes of the list to the set of instances that run lentilgrade.
fn update_entries(entries: &mut BTreeSet<String>, changes: &ListChanges) {
    if changes.complete {
        entries.clear();
    }
    changes.removed.iter().for_each(|id| {
        entries.remove(id);
    });
    for listed in changes.changed.iter().filter(|l| l.kind == ListKind::Entry) {
        match listed.state {
            ListState::Gone => entries.remove(&listed.id),
            ListState::Live | ListState::Leaving => entries.insert(listed.id.clone()),
        };
    }
}

async fn apply(app: &Arc<App>, listed: &ListedInstance) {
    match listed.kind {
        ListKind::Entry => apply_entry(app, listed).await,
        ListKind::Engine => apply_engine(app, listed),
        ListKind::Target => apply_target(app, listed),
    }
}

async fn apply_entry(app: &Arc<App>, listed: &ListedInstance) {
    let Ok(id) = listed.id.parse::<InstanceId>() else { return };
    if id == app.identity.instance {
        return;
    }
    match listed.state {
        ListState::Gone => {
            app.holders().gone.insert(id);
        }
        ListState::Live | ListState::Leaving => {
            if let Some(announced) = &listed.announced {
                app.peer_versions.record(&id, announced.clone());
            }
            app.holders().gone.remove(&id);
            mesh::contact(app, listed.address).await;
        }
    }
}

fn apply_engine(app: &App, listed: &ListedInstance) {
    let Ok(id) = listed.id.parse::<EngineId>() else { return };
    let leaving = listed.state != ListState::Live;
    let mut boot = Incarnation(0);
    let mut newly_leaving = false;
    if let Some(engine) = app.fleet().engine(&id) {
        newly_leaving = leaving && !engine.leaving;
        engine.leaving = leaving;
        boot = engine.boot;
    }
    if newly_leaving {
        log::info!("list: engine {id} is leaving");
        app.member_view().queue_update(Update::Leaving { engine: id, boot });
    }
}

fn apply_target(app: &App, listed: &ListedInstance) {
    let leaving = listed.state != ListState::Live;
    for ((_, id), target) in &mut app.fleet().targets {
        if id.as_str() == listed.id {
            target.leaving = leaving;
        }
    }
}
