use {
    super::{broadcast, broadcast_extension, request, send_datagram, send_extension},
    crate::app::App,
    lentil_core::{
        clock::Time,
        ids::{Fingerprint, InstanceId, Millis, PrefixHash},
        mesh::{ClearedRequests, CrashNote, Extension, Message, Update},
        poison::{Crash, QuarantineDigest, Subject},
    },
    smallvec::SmallVec,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Shortest interval between two requests for other instances' quarantines.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(500);
/// Number of notes that fit one datagram, also with the longest names.
const NOTES_PER_DATAGRAM: usize = 6;
/// Number of cleared subjects that fit one datagram.
const CLEARED_PER_DATAGRAM: usize = 100;

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

/// Records crashes that another instance has found, and answers with those of their subjects that are
/// cleared of them here.
pub(super) async fn record_crashes(
    app: &App,
    address: SocketAddr,
    from: Option<InstanceId>,
    notes: &[CrashNote],
) {
    let now = app.now();
    notes.iter().for_each(|note| record_reported_crash(app, note, now));
    let is_cleared = |note: &&CrashNote| {
        let (crash, age) = (&note.crash, note.age.duration());
        app.quarantine().is_cleared_of(note.subject, crash, age, now)
    };
    let cleared: Vec<Subject> = notes.iter().filter(is_cleared).map(|n| n.subject).collect();
    for (parts, requests) in cleared.chunks(CLEARED_PER_DATAGRAM).map(split) {
        if !parts.is_empty() {
            send_datagram(app, address, from.clone(), Message::ClearedParts(parts)).await;
        }
        let member = || {
            let view = app.member_view();
            let found = view.live().find(|m| m.info.address == address);
            found.map(|m| m.info.id.clone())
        };
        if let Some(to) = from.clone().or_else(member).filter(|_| !requests.is_empty()) {
            let message = Extension::ClearedRequests(ClearedRequests { requests });
            send_extension(app, address, &to, message).await;
        }
    }
}

/// Splits subjects into parts and the fingerprints of requests, which are sent in different messages.
pub(super) fn split(subjects: &[Subject]) -> (Vec<PrefixHash>, Vec<u64>) {
    let (mut parts, mut requests) = (Vec::new(), Vec::new());
    for subject in subjects {
        match subject {
            Subject::Part(part) => parts.push(*part),
            Subject::Request(request) => requests.push(request.0),
        }
    }
    (parts, requests)
}

/// Clears requests that targets have answered at another instance.
pub(super) fn record_cleared_requests(app: &Arc<App>, message: &ClearedRequests) {
    let requests = message.requests.iter().map(|request| Fingerprint(*request).into());
    clear_blame(app, &requests.collect::<Vec<_>>(), ReportedBy::Instance);
}

/// Records a crash that another instance has found.
pub(super) fn record_reported_crash(app: &App, note: &CrashNote, now: Time) {
    if record_crash(app, note, now) {
        let (engine, subject) = (&note.crash.engine, note.subject);
        log::info!("poison: target={engine} verdict=reported {subject}");
        store_if_found(app, subject);
    }
}

/// Where the news of a completed answer comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedBy {
    /// A target, to this instance.
    Target,
    /// Another instance.
    Instance,
}

/// Clears requests and parts of blame for crashes. All instances learn of it from the one that a
/// target has told, or that had found the crashes.
pub fn clear_blame(app: &Arc<App>, subjects: &[Subject], reported: ReportedBy) {
    let mut news = Vec::new();
    {
        let now = app.now();
        let mut quarantine = app.quarantine();
        let was_quarantined = subjects.iter().any(|s| quarantine.is_quarantined(*s, now));
        let found: SmallVec<[Subject; 2]> =
            subjects.iter().copied().filter(|s| quarantine.was_found(*s)).collect();
        for subject in quarantine.clear(subjects, now) {
            log::info!("poison: {subject} cleared, a target has answered");
            if reported == ReportedBy::Target || found.contains(&subject) {
                news.push(subject);
            }
        }
        if was_quarantined {
            app.quarantine_found.notify_one();
        }
    }
    if news.is_empty() {
        return;
    }
    let app = app.clone();
    tokio::spawn(async move {
        let (parts, requests) = split(&news);
        if !parts.is_empty() {
            broadcast(&app, Message::ClearedParts(parts)).await;
        }
        if !requests.is_empty() {
            let message = Extension::ClearedRequests(ClearedRequests { requests });
            broadcast_extension(&app, &message).await;
        }
    });
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
