use {
    crate::app::{App, Phase},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Interval at which stalled bodies are looked for.
const INTERVAL: Duration = Duration::from_millis(500);

/// Gives up bodies that have stalled; never returns.
pub async fn watch_bodies(app: Arc<App>) {
    loop {
        sleep(INTERVAL).await;
        app.memory.give_up_stalled(*app.phase.borrow() != Phase::Serving);
    }
}
