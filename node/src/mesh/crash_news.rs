use {
    super::{broadcast, request},
    crate::app::App,
    lentil_core::{
        clock::Time,
        ids::{Fingerprint, Millis},
        mesh::{CrashNote, Message, Update},
        poison::{Crash, QuarantineDigest},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Shortest interval between two requests for other instances' quarantines.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(500);

/// Records a crash that this instance has found, and tells all members of its view at once. Gossip
/// reaches the instances beyond the view, and those that missed the datagram.
pub async fn report_crash(app: &Arc<App>, fingerprint: Fingerprint, crash: Crash) {
    let note = CrashNote { fingerprint, crash, age: Millis(0) };
    if record_crash(app, &note, app.now()) {
        log::warn!(
            "poison: request {fingerprint} ran on engine {} as it crashed",
            note.crash.engine
        );
        app.quarantine().mark_found(fingerprint);
        store_if_found(app, fingerprint);
        broadcast(app, Message::Crashes(vec![note])).await;
    }
}

/// Records a crash that another instance has found.
pub(super) fn record_reported_crash(app: &App, note: &CrashNote, now: Time) {
    if record_crash(app, note, now) {
        let (engine, fingerprint) = (&note.crash.engine, note.fingerprint);
        log::info!("poison: target={engine} verdict=reported request={fingerprint}");
        store_if_found(app, fingerprint);
    }
}

fn store_if_found(app: &App, fingerprint: Fingerprint) {
    if app.quarantine().is_found(fingerprint) {
        app.quarantine_found.notify_one();
    }
}

/// Records a crash, and queues it for gossip if it has just happened. Older ones are spread by the
/// digests: gossip has no age, and would begin the quarantine anew.
fn record_crash(app: &App, note: &CrashNote, now: Time) -> bool {
    let CrashNote { fingerprint, crash, age } = note.clone();
    let is_new =
        app.quarantine().record_past_crash(fingerprint, crash.clone(), age.duration(), now);
    if is_new && age == Millis(0) {
        app.member_view().queue_update(Update::Crashed { fingerprint, crash });
    }
    is_new
}

/// Requests the quarantine of the instance at `address` if its digest differs from the own one.
///
/// Gossip carries each crash for a few seconds only. An instance that was cut off meanwhile, or has
/// started since, learns of it here.
pub(super) fn pull_quarantine(app: &Arc<App>, address: SocketAddr, digest: QuarantineDigest) {
    let now = app.now();
    if app.quarantine().digest(now) == digest || !app.start_quarantine_pull(now, MIN_PULL_INTERVAL)
    {
        return;
    }
    let app = app.clone();
    tokio::spawn(async move {
        match request(&app, address, None, Message::PullQuarantine).await {
            Ok(Message::Crashes(notes)) => {
                let now = app.now();
                notes.iter().for_each(|note| record_reported_crash(&app, note, now));
            }
            Ok(_) => log::debug!("mesh: {address} did not reply with its quarantine"),
            Err(error) => log::debug!("mesh: quarantine of {address} not received: {error}"),
        }
    });
}

/// Returns the crashes by which requests are in this instance's quarantine.
pub(super) fn quarantine_notes(app: &App) -> Vec<CrashNote> {
    let now = app.now();
    let quarantine = app.quarantine();
    let notes = quarantine.entries(now).flat_map(|(fingerprint, crashes, age)| {
        let age = Millis(age.as_millis() as u64);
        crashes.iter().map(move |crash| CrashNote { fingerprint, crash: crash.clone(), age })
    });
    notes.collect()
}
