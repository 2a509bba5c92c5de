use {
    crate::{app::App, ports::Directory},
    lentil_core::{ids::Revision, limit::Backoff},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Longest wait of one watch; a dead connection is noticed after this time.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay between reads while there are no routes, and after the first failed read.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Longest delay after failed reads.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Follows the directory's routes and activates newer versions; never returns.
pub async fn follow_routes(app: Arc<App>, directory: Arc<dyn Directory>) {
    let mut read_at: Option<Revision> = None;
    let mut failing = false;
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    loop {
        let began = app.now();
        let found = match read_at {
            Some(after) => {
                app.table_freshness().record_watch(began);
                directory.newer_routes(after, WATCH_TIMEOUT).await
            }
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
                }
            }
            Err(error) => {
                if !failing {
                    log::warn!("routes: store lost: {error}");
                }
                failing = true;
                app.table_freshness().record_failure();
                read_at = None;
                sleep(backoff.record_failure(rand::random())).await;
            }
        }
    }
}
