use {
    super::send_datagram,
    crate::app::App,
    lentil_core::{
        clock::Time,
        ids::{Fingerprint, Millis},
        mesh::{CrashNote, Message, Update},
        poison::Crash,
    },
    std::sync::Arc,
};

/// Records a crash that this instance has found, and tells all members of its view at once. Gossip
/// reaches the instances beyond the view, and those that missed the datagram.
pub async fn report_crash(app: &Arc<App>, fingerprint: Fingerprint, crash: Crash) {
    let note = CrashNote { fingerprint, crash, age: Millis(0) };
    if record_crash(app, &note, app.now()) {
        log::warn!(
            "poison: request {fingerprint} ran on engine {} as it crashed",
            note.crash.engine
        );
        let members: Vec<_> = {
            let view = app.member_view();
            view.live().map(|m| (m.info.address, m.info.id.clone())).collect()
        };
        for (address, id) in members {
            let message = Message::Crashes(vec![note.clone()]);
            send_datagram(app, address, Some(id), message).await;
        }
    }
}

/// Records a crash that another instance has found.
pub(super) fn record_reported_crash(app: &App, note: &CrashNote, now: Time) {
    if record_crash(app, note, now) {
        let (engine, fingerprint) = (&note.crash.engine, note.fingerprint);
        log::info!("poison: target={engine} verdict=reported request={fingerprint}");
    }
}

/// Records a crash, and queues it for gossip if it is new.
fn record_crash(app: &App, note: &CrashNote, now: Time) -> bool {
    let CrashNote { fingerprint, crash, age } = note.clone();
    let at = now - age.duration();
    let is_new = app.quarantine().record_crash(fingerprint, crash.clone(), at);
    if is_new {
        app.member_view().queue_update(Update::Crashed { fingerprint, crash });
    }
    is_new
}
