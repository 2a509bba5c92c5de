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
    rand::seq::SliceRandom,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
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
/// Shortest interval between reads for each listed instance: a read returns the whole list in large
/// regions, about 200 bytes an instance.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(50);
/// Listed instances that are contacted after a read, since they are not live members of the view.
const CONTACTS_PER_READ: usize = 4;
/// Longest back-off, in addition to the interval, while the list is not available.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Follows the platform's list: contacts entry instances, and marks leaving engines and targets so
/// that they get no new work.
pub async fn follow_list(app: Arc<App>) {
    let (mut version, mut reads) = (0, 0);
    let mut entries = BTreeMap::new();
    let mut backoff = Backoff::new(POLL_INTERVAL, MAX_BACKOFF);
    loop {
        let crowded = app.settings.hosted.as_ref().is_some_and(|h| entries.len() >= h.crowd);
        let read = match crowded && reads >= STARTUP_READS {
            true => app.ports.list.snapshot(),
            false => app.ports.list.changes(version),
        };
        match read.await {
            Err(error) => {
                log::debug!("list: {error}");
                sleep(backoff.record_failure(rand::random())).await;
            }
            // A snapshot may be older than what was read before.
            Ok(changes) if changes.version < version => backoff.record_success(),
            Ok(changes) => {
                backoff.record_success();
                version = changes.version;
                reads += 1;
                let changed = update_entries(&mut entries, changes);
                let count = entries.len() as u32;
                app.member_view().record_listed(count, app.now());
                for listed in &changed {
                    apply(&app, listed).await;
                }
                if crowded {
                    contact_unknown(&app, &entries).await;
                }
            }
        }
        let interval = match app.settings.hosted {
            None => POLL_INTERVAL,
            Some(_) if reads < STARTUP_READS => HOSTED_STARTUP_INTERVAL,
            Some(_) => HOSTED_POLL_INTERVAL.max(INTERVAL_PER_INSTANCE * entries.len() as u32),
        };
        sleep(interval).await;
    }
}

/// Applies changes of the list to the instances that run lentilgrade; returns the changes that are
/// new.
fn update_entries(
    entries: &mut BTreeMap<String, ListedInstance>,
    changes: ListChanges,
) -> Vec<ListedInstance> {
    if changes.complete {
        let listed: BTreeSet<&String> = changes.changed.iter().map(|l| &l.id).collect();
        entries.retain(|id, _| listed.contains(id));
    }
    changes.removed.iter().for_each(|id| {
        entries.remove(id);
    });
    let mut is_new = |listed: &ListedInstance| {
        if listed.kind != ListKind::Entry {
            return true;
        }
        match listed.state {
            ListState::Gone => {
                entries.remove(&listed.id);
                true
            }
            ListState::Live | ListState::Leaving => {
                entries.insert(listed.id.clone(), listed.clone()).as_ref() != Some(listed)
            }
        }
    };
    changes.changed.into_iter().filter(|listed| is_new(listed)).collect()
}

/// Contacts some listed instances that are not live members of the view, so that an instance whose
/// partition has healed joins the others again.
async fn contact_unknown(app: &App, entries: &BTreeMap<String, ListedInstance>) {
    let mut unknown: Vec<&ListedInstance> = {
        let view = app.member_view();
        let live: BTreeSet<&str> = view.live().map(|m| m.info.id.as_str()).collect();
        let own = app.identity.instance.as_str();
        entries.values().filter(|l| l.id != own && !live.contains(l.id.as_str())).collect()
    };
    unknown.shuffle(&mut rand::thread_rng());
    for listed in unknown.into_iter().take(CONTACTS_PER_READ) {
        mesh::contact(app, listed.address).await;
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
