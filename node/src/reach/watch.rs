use {
    super::{
        check::{begin_check, check_return},
        probe::{probe, sample},
    },
    crate::app::App,
    lentil_core::{ids::ModelId, reach::DueCheck},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Interval in which due checks are looked for.
const INTERVAL: Duration = Duration::from_millis(100);
/// Targets that are asked first as a service has fallen silent.
const SILENCE_PROBES: usize = 2;

/// Checks services that have fallen silent, and those from which this instance is cut off; never
/// returns.
pub async fn watch_reach(app: Arc<App>) {
    loop {
        sleep(INTERVAL).await;
        app.links.close_expired();
        let now = app.now();
        let due = app.reach().take_due_checks(now);
        for (service, due) in due {
            tokio::spawn(run_check(app.clone(), service, due));
        }
    }
}

async fn run_check(app: Arc<App>, service: ModelId, due: DueCheck) {
    match due {
        DueCheck::Return => check_return(&app, &service).await,
        DueCheck::Silence => {
            let targets = sample(&app, &service, SILENCE_PROBES);
            if probe(&app, &service, &targets, 1).await.answered.is_empty() {
                begin_check(&app, &service).await;
            }
        }
    }
}
