use {
    super::{
        crash_news::{
            clear_blame, pull_quarantine, quarantine_notes, record_crashes, record_reported_crash,
            ReportedBy,
        },
        heartbeat::send_heartbeat,
        limits::{answer_permit_request, record_limits},
        send_datagram,
        streams::{own_answer, record_stream_origins},
    },
    crate::{
        app::{App, CellHolder},
        control, follow,
        reach::answer_reach_question,
    },
    lentil_core::{
        ids::{Millis, Revision},
        manifest::Role,
        mesh::{CrashNote, Envelope, Heartbeat, Message, PullReply, Question, Reply, Update},
        poison::Subject,
    },
    std::{net::SocketAddr, sync::Arc},
};

/// Handles the message of a datagram.
pub(super) async fn datagram(app: &Arc<App>, address: SocketAddr, envelope: Envelope) {
    match envelope.body {
        Message::Heartbeat(heartbeat) => {
            let reply = heartbeat.reply.then(|| heartbeat.me.id.clone());
            apply_heartbeat(app, heartbeat);
            if let Some(id) = reply {
                send_heartbeat(app, address, Some(id), false).await;
            }
        }
        Message::Demand(notes) => {
            let now = app.now();
            let mut holders = app.holders();
            for note in notes {
                holders.record_demand(&envelope.from.instance, note, now);
            }
        }
        Message::InFlight(notes) => {
            let now = app.now();
            let mut fleet = app.fleet();
            for note in notes {
                let engine = fleet.engine(&note.engine);
                if let Some(in_flight) = engine.and_then(|e| e.load.in_flight.as_mut()) {
                    in_flight.update(&envelope.from.instance, note.in_flight, now);
                }
            }
        }
        Message::PrefixLocations(notes) => {
            let now = app.now();
            let (mut fleet, mut cache) = (app.fleet(), app.cache_index());
            for note in &notes {
                cache.locations.record(note, now);
                // Builds that weigh no prefixes send notes of short prefixes too, which mostly lie on
                // decoding engines.
                let engine = fleet.engine(&note.engine).filter(|e| e.role == Role::Prefill);
                if let Some(engine) = engine {
                    engine.record_prefix(note.prefix, note.progress, None, now);
                }
            }
        }
        Message::Targets(batches) => {
            app.relayed_targets.send_replace(Arc::new(batches));
        }
        Message::Crashes(notes) => {
            record_crashes(app, address, Some(envelope.from.instance), &notes).await;
        }
        Message::ClearedParts(parts) => {
            let parts: Vec<Subject> = parts.into_iter().map(Subject::from).collect();
            clear_blame(app, &parts, ReportedBy::Instance);
        }
        Message::QuarantineDigest(digest) => pull_quarantine(app, address, digest),
        Message::Limits(notes) => record_limits(app, &envelope.from.instance, &notes),
        Message::StreamOrigins(notes) => record_stream_origins(app, notes),
        Message::Question { number, question } => {
            let reply = answer_question(app, &question);
            let message = Message::Reply { number, reply };
            send_datagram(app, address, Some(envelope.from.instance), message).await;
        }
        Message::Reply { number, reply } => app.questions.record_reply(number, reply),
        // All other messages are sent by connection.
        _ => {}
    }
}

fn answer_question(app: &Arc<App>, question: &Question) -> Reply {
    match question {
        Question::Permit(request) => answer_permit_request(app, request),
        Question::StreamOrigin { stream, service } => {
            Reply::StreamOrigin(own_answer(app, Some(*stream), service))
        }
        Question::Reach(service) => answer_reach_question(app, service),
    }
}

fn apply_heartbeat(app: &Arc<App>, heartbeat: Heartbeat) {
    let now = app.now();
    app.member_view().record_heartbeat(&heartbeat.me, now);
    app.observe_revision(heartbeat.revision);
    for update in heartbeat.updates {
        apply_update(app, update);
    }
    if heartbeat.revision > app.revision() {
        let (app, from) = (app.clone(), heartbeat.me.address);
        tokio::spawn(async move { follow::pull_manifest(&app, from).await });
    }
}

fn apply_update(app: &App, update: Update) {
    let now = app.now();
    let is_new = match &update {
        Update::Member { info, state } => {
            // The view itself queues what is new for the other instances; so does the record of a
            // crash.
            app.member_view().apply(info, *state, now);
            false
        }
        Update::Crashed { subject, crash } => {
            let (subject, crash) = (*subject, crash.clone());
            record_reported_crash(app, &CrashNote { subject, crash, age: Millis(0) }, now);
            false
        }
        Update::Leaving { engine, boot } => {
            let mut fleet = app.fleet();
            let known = fleet.engine(engine).filter(|e| !e.leaving && e.boot == *boot);
            known.map(|e| e.leaving = true).is_some()
        }
        Update::Paused { engine, number, paused, role } => {
            app.fleet().record_paused_role(engine, (*number, *paused), *role, now)
        }
        Update::CellHolder { cell, holder, address, number } => {
            let found = CellHolder { holder: holder.clone(), address: *address, fence: *number };
            app.holders().record_holder(cell, found)
        }
    };
    if is_new {
        app.member_view().queue_update(update);
    }
}

/// Answers a request that arrived by connection.
pub(super) async fn request(app: &Arc<App>, envelope: Envelope) -> Message {
    match envelope.body {
        Message::Pull { have } => Message::PullReply(pull_reply(app, have)),
        Message::StepDown { cell, holder } => {
            match holder == app.identity && control::step_down(app, &cell).await {
                true => Message::SteppedDown,
                false => Message::Refused,
            }
        }
        Message::PullQuarantine => Message::Crashes(quarantine_notes(app)),
        _ => Message::Refused,
    }
}

fn pull_reply(app: &App, have: Revision) -> PullReply {
    let Some(active) = app.active_manifest().filter(|active| active.index.revision > have) else {
        return PullReply::Unchanged;
    };
    let revision = active.index.revision;
    let recent = &active.record.recent;
    match recent.iter().position(|e| e.base == have && have.0 > 0) {
        Some(from) => {
            let edits = recent.iter().skip(from).cloned().collect();
            PullReply::Edits { revision, edits }
        }
        None => PullReply::Full { revision, record: Box::new((*active.record).clone()) },
    }
}
