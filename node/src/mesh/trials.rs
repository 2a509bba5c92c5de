use {
    super::{crash_news::split, extensions::send_extension},
    crate::app::App,
    lentil_core::{
        ids::{Fingerprint, PrefixHash},
        mesh::{Extension, MemberInfo, TrialReply, TrialRequest},
        order::Holder,
        poison::Subject,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Time within which a trial is granted.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Takes the next trial of quarantined subjects from the instance that grants them; returns whether
/// there is one.
pub async fn request_trial(app: &App, subjects: &[Subject]) -> bool {
    let Some(holder) = trial_holder(app, subjects) else { return false };
    if holder.id == app.identity.instance {
        return app.quarantine().take_trial(subjects, app.now());
    }
    let (waiting, receiver) = app.trial_questions.begin();
    let (parts, requests) = split(subjects);
    let parts = parts.into_iter().map(|p| p.0).collect();
    let request = TrialRequest { number: waiting.number, requests, parts };
    if !send_extension(app, holder.address, &holder.id, Extension::TrialRequest(request)).await {
        return false;
    }
    let reply = timeout(REPLY_TIMEOUT, receiver).await;
    reply.is_ok_and(|reply| reply.is_ok_and(|reply| reply.granted))
}

/// Returns the instance that grants the trials of these subjects. Parts, which come last, are shared by
/// requests, so that the trials of all requests with one are granted by the same instance.
fn trial_holder(app: &App, subjects: &[Subject]) -> Option<MemberInfo> {
    let duty = subjects.last()?.to_string();
    app.member_view().duty_holder(&duty, &app.settings.region).cloned()
}

pub(super) fn answer_trial_request(
    app: &Arc<App>,
    from: &Holder,
    address: SocketAddr,
    message: TrialRequest,
) {
    let requests = message.requests.into_iter().map(|r| Subject::from(Fingerprint(r)));
    let parts = message.parts.into_iter().map(|p| Subject::from(PrefixHash(p)));
    let subjects: Vec<Subject> = requests.chain(parts).collect();
    let granted = !subjects.is_empty() && app.quarantine().take_trial(&subjects, app.now());
    if granted {
        log::info!("poison: trial of {} granted to={}", subjects[0], from.instance);
    }
    let (app, to) = (app.clone(), from.instance.clone());
    tokio::spawn(async move {
        let reply = Extension::TrialReply(TrialReply { number: message.number, granted });
        send_extension(&app, address, &to, reply).await;
    });
}

pub(super) fn record_trial_reply(app: &App, message: TrialReply) {
    app.trial_questions.record_reply(message.number, message);
}
