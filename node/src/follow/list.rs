use {
    crate::{
        app::App,
        mesh,
        ports::{ListKind, ListState, Listed},
    },
    lentil_core::{
        ids::{EngineId, Incarnation, InstanceId},
        limit::Backoff,
        mesh::Update,
    },
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Time between two reads of the list; a leaving target is to be heard of within 3 s.
const PERIOD: Duration = Duration::from_millis(500);
/// Reads with that time between them; instances find each other in them. After that, a list that
/// tells of instances only is read at the longer time: who comes greets the others itself.
const FIRST: u32 = 4;
const LATER: Duration = Duration::from_secs(6);
/// Longest pause beside it while the list is not available.
const MOST: Duration = Duration::from_secs(4);

/// Follows the platform's list: entry instances are greeted, leaving targets get no new work.
pub async fn follow_list(app: Arc<App>) {
    let (mut version, mut reads) = (0, 0);
    let mut backoff = Backoff::new(PERIOD, MOST);
    loop {
        match app.ports.list.changes(version).await {
            Err(error) => {
                log::debug!("list: {error}");
                sleep(backoff.failed(rand::random())).await;
            }
            Ok(changes) => {
                backoff.succeeded();
                version = changes.version;
                reads += 1;
                for listed in &changes.changed {
                    take(&app, listed).await;
                }
            }
        }
        let hosted = app.settings.hosted.is_some();
        sleep(if hosted && reads >= FIRST { LATER } else { PERIOD }).await;
    }
}

async fn take(app: &Arc<App>, listed: &Listed) {
    match listed.kind {
        ListKind::Entry => entry(app, listed).await,
        ListKind::Engine => engine(app, listed),
        ListKind::Target => target(app, listed),
    }
}

async fn entry(app: &Arc<App>, listed: &Listed) {
    let Ok(id) = listed.id.parse::<InstanceId>() else { return };
    if id == app.me.instance {
        return;
    }
    match listed.state {
        ListState::Gone => {
            app.holders().gone.insert(id);
        }
        ListState::Live | ListState::Leaving => {
            app.holders().gone.remove(&id);
            mesh::contact(app, listed.address).await;
        }
    }
}

fn engine(app: &App, listed: &Listed) {
    let Ok(id) = listed.id.parse::<EngineId>() else { return };
    let leaving = listed.state != ListState::Live;
    let mut boot = Incarnation(0);
    let mut news = false;
    if let Some(engine) = app.fleet().engine(&id) {
        news = leaving && !engine.leaving;
        engine.leaving = leaving;
        boot = engine.boot;
    }
    if news {
        log::info!("list: engine {id} is leaving");
        app.view().queue_update(Update::Leaving { engine: id, boot });
    }
}

fn target(app: &App, listed: &Listed) {
    let leaving = listed.state != ListState::Live;
    for ((_, id), target) in &mut app.fleet().targets {
        if id.as_str() == listed.id {
            target.leaving = leaving;
        }
    }
}
