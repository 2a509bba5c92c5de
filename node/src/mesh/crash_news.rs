use {
    super::{broadcast, request, send_datagram},
    crate::app::App,
    lentil_core::{
        clock::Time,
        ids::{InstanceId, Millis, PrefixHash},
        mesh::{CrashNote, Message, Update},
        poison::{Crash, QuarantineDigest, Subject},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Shortest interval between two requests for other instances' quarantines.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(500);
/// Number of notes that fit one datagram, also with the longest names.
const NOTES_PER_DATAGRAM: usize = 6;

/// Records a crash that this instance has found, and tells all members of its view at once. Gossip
/// reaches the instances beyond the view, and those that missed the datagram.
pub async fn report_crash(app: &Arc<App>, subjects: &[Subject], crash: Crash) {
    let mut notes = Vec::new();
    for subject in subjects {
        let note = CrashNote { subject: *subject, crash: crash.clone(), age: Millis(0) };
        if record_crash(app, &note, app.now()) {
            log::warn!("poison: {subject} ran on engine {} as it crashed", crash.engine);
            app.quarantine().mark_found(*subject);
            store_if_found(app, *subject);
            notes.push(note);
        }
    }
    for notes in notes.chunks(NOTES_PER_DATAGRAM) {
        broadcast(app, Message::Crashes(notes.to_vec())).await;
    }
}

/// Records crashes that another instance has found, and answers with the parts among their subjects
/// that targets have answered here since.
pub(super) async fn record_crashes(
    app: &App,
    address: SocketAddr,
    from: Option<InstanceId>,
    notes: &[CrashNote],
) {
    let now = app.now();
    notes.iter().for_each(|note| record_reported_crash(app, note, now));
    let cleared: Vec<PrefixHash> = notes
        .iter()
        .filter_map(|note| match note.subject {
            Subject::Part(part) => app.quarantine().is_cleared(note.subject, now).then_some(part),
            Subject::Request(_) => None,
        })
        .collect();
    if !cleared.is_empty() {
        send_datagram(app, address, from, Message::ClearedParts(cleared)).await;
    }
}

/// Records a crash that another instance has found.
pub(super) fn record_reported_crash(app: &App, note: &CrashNote, now: Time) {
    if record_crash(app, note, now) {
        let (engine, subject) = (&note.crash.engine, note.subject);
        log::info!("poison: target={engine} verdict=reported {subject}");
        store_if_found(app, subject);
    }
}

/// Where the news of a completed answer on parts of prompts comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedBy {
    /// A target, to this instance.
    Target,
    /// Another instance.
    Instance,
}

/// Clears parts of blame for crashes. All instances learn of it from the one that a target has told,
/// or that had found the crashes.
pub fn clear_parts(app: &Arc<App>, parts: &[PrefixHash], reported: ReportedBy) {
    let mut news = Vec::new();
    {
        let now = app.now();
        let mut quarantine = app.quarantine();
        let quarantined = quarantine.quarantined_parts(parts, now);
        let found: Vec<PrefixHash> =
            parts.iter().copied().filter(|p| quarantine.was_found((*p).into())).collect();
        for part in quarantine.clear_parts(parts, now) {
            log::info!("poison: {} cleared, a target has answered", Subject::Part(part));
            if reported == ReportedBy::Target || found.contains(&part) {
                news.push(part);
            }
        }
        if !quarantined.is_empty() {
            app.quarantine_found.notify_one();
        }
    }
    if !news.is_empty() {
        let app = app.clone();
        tokio::spawn(async move { broadcast(&app, Message::ClearedParts(news)).await });
    }
}

fn store_if_found(app: &App, subject: Subject) {
    if app.quarantine().is_found(subject) {
        app.quarantine_found.notify_one();
    }
}

/// Records a crash, and queues it for gossip if it has just happened. Older ones are spread by the
/// digests: gossip has no age, and would begin the quarantine anew.
fn record_crash(app: &App, note: &CrashNote, now: Time) -> bool {
    let CrashNote { subject, crash, age } = note.clone();
    let is_new = app.quarantine().record_past_crash(subject, crash.clone(), age.duration(), now);
    if is_new && age == Millis(0) {
        app.member_view().queue_update(Update::Crashed { subject, crash });
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
            Ok(Message::Crashes(notes)) => record_crashes(&app, address, None, &notes).await,
            Ok(_) => log::debug!("mesh: {address} did not reply with its quarantine"),
            Err(error) => log::debug!("mesh: quarantine of {address} not received: {error}"),
        }
    });
}

/// Returns the crashes by which requests and parts are in this instance's quarantine.
pub(super) fn quarantine_notes(app: &App) -> Vec<CrashNote> {
    let now = app.now();
    let quarantine = app.quarantine();
    let notes = quarantine.crashes(now).map(|(subject, crash, age)| {
        let age = Millis(age.as_millis() as u64);
        CrashNote { subject, crash: crash.clone(), age }
    });
    notes.collect()
}
