use {
    crate::{app::App, mesh, ports::Directory},
    lentil_core::{
        clock::Time,
        ids::Revision,
        limit::Backoff,
        routes::{AbandonReason, WatchVerdict},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Longest wait of one watch. Each watch is a counted call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait of a close watch, by which the instances that make one notice a dead connection.
const CLOSE_WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between reads while there are no routes, and after the first failed read.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Longest delay after failed reads.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Follows the directory's routes and activates newer versions; never returns.
///
/// A connection on which an answer was lost stays open and returns nothing further, so that a watch
/// may never return. Some instances make short watches, and the others compare their routes with
/// these: a long watch is given up if its instance's routes are not confirmed in time.
pub async fn follow_routes(app: Arc<App>, directory: Arc<dyn Directory>) {
    let mut read_at: Option<Revision> = None;
    let mut failing = false;
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    loop {
        let began = app.now();
        let wait = match mesh::is_route_watcher(&app) {
            true => CLOSE_WATCH_TIMEOUT,
            false => WATCH_TIMEOUT,
        };
        let found = match read_at {
            Some(after) => tokio::select! {
                found = directory.newer_routes(after, wait) => found,
                reason = abandoned(&app, began, wait) => {
                    let waited = (app.now() - began).as_millis();
                    log::info!("routes: watch abandoned after {waited} ms: {reason}");
                    app.metrics.abandoned_watches.with_label_values(&[reason.label()]).inc();
                    read_at = read_at.filter(|_| reason == AbandonReason::Duty);
                    continue;
                }
            },
            None => directory.routes().await,
        };
        match found {
            Ok((revision, table)) => {
                if failing {
                    log::info!("routes: store regained");
                }
                failing = false;
                backoff.record_success();
                app.table_freshness().record_read(began);
                if table.is_none() && read_at.is_some() && app.now() - began >= wait {
                    // The store has waited for the whole time, and found no change at its end.
                    app.table_freshness().record_current(began + wait);
                }
                read_at = Some(revision);
                let Some(table) = table else {
                    if app.routes().is_err() {
                        sleep(MIN_BACKOFF).await;
                    }
                    continue;
                };
                let (version, count) = (table.version, table.len());
                if app.activate_routes(table) {
                    log::info!(
                        "routes: version={version} routes={count} revision={revision} in force"
                    );
                    if mesh::is_route_watcher(&app) {
                        mesh::announce_routes(&app).await;
                    }
                }
            }
            Err(error) => {
                if !failing {
                    log::warn!("routes: store lost: {error}");
                }
                failing = true;
                read_at = None;
                sleep(backoff.record_failure(rand::random())).await;
            }
        }
    }
}

/// Waits until a watch that began at `began` is to be given up, and returns why.
async fn abandoned(app: &App, began: Time, wait: Duration) -> AbandonReason {
    loop {
        if wait > CLOSE_WATCH_TIMEOUT && mesh::is_route_watcher(app) {
            return AbandonReason::Duty;
        }
        let (own, now) = (app.route_version(), app.now());
        let verdict = app.table_freshness().judge_watch(own, began, now);
        match verdict {
            WatchVerdict::Abandon(reason) => return reason,
            WatchVerdict::KeepUntil(time) => {
                // The verdict may be another one as soon as another instance has answered.
                let _ = timeout(time - now, app.peer_routes.notified()).await;
            }
        }
    }
}
