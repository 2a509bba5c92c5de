use {
    crate::{app::App, ports::Directory},
    lentil_core::{ids::Revision, limit::Backoff},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Longest wait of one look; a connection that has gone silent is noticed after it.
const WAIT: Duration = Duration::from_secs(10);
/// Pause while there are no routes yet.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after looks that failed.
const MOST: Duration = Duration::from_millis(1_000);

/// Follows the routes of the directory for ever; an older version is never put in force.
pub async fn follow_routes(app: Arc<App>, directory: Arc<dyn Directory>) {
    let mut at: Option<Revision> = None;
    let mut failing = false;
    let mut backoff = Backoff::new(PAUSE, MOST);
    loop {
        let found = match at {
            Some(at) => directory.newer_routes(at, WAIT).await,
            None => directory.routes().await,
        };
        match found {
            Ok((revision, table)) => {
                if failing {
                    log::info!("routes: store regained");
                }
                failing = false;
                backoff.succeeded();
                at = Some(revision);
                let Some(table) = table else {
                    if app.routes().is_err() {
                        sleep(PAUSE).await;
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
                at = None;
                sleep(backoff.failed(rand::random())).await;
            }
        }
    }
}
