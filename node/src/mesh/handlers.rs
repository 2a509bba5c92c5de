use {
    super::datagram::send_heartbeat,
    crate::{
        app::{App, CellHolder},
        control, follow,
    },
    lentil_core::{
        ids::Revision,
        mesh::{Envelope, Heartbeat, Message, PullReply, Update},
    },
    std::{net::SocketAddr, sync::Arc},
};

/// Takes in what a datagram says.
pub(super) async fn datagram(app: &Arc<App>, address: SocketAddr, envelope: Envelope) {
    match envelope.body {
        Message::Heartbeat(beat) => {
            let reply = beat.reply.then(|| beat.me.id.clone());
            take_beat(app, beat);
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
                if let Some(shared) = engine.and_then(|e| e.load.in_flight.as_mut()) {
                    shared.update(&envelope.from.instance, note.in_flight, now);
                }
            }
        }
        Message::PrefixLocations(parts) => {
            let now = app.now();
            let mut cache = app.cache();
            for part in &parts {
                cache.locations.record(part, now);
            }
        }
        Message::Targets(batches) => {
            app.relayed_targets.send_replace(Arc::new(batches));
        }
        // The rest comes by connection.
        _ => {}
    }
}

fn take_beat(app: &Arc<App>, beat: Heartbeat) {
    let now = app.now();
    app.view().record_heartbeat(&beat.me, now);
    app.observe_revision(beat.revision);
    for news in beat.updates {
        take_news(app, news);
    }
    if beat.revision > app.revision() {
        let (app, from) = (app.clone(), beat.me.address);
        tokio::spawn(async move { follow::pull_manifest(&app, from).await });
    }
}

fn take_news(app: &App, news: Update) {
    let now = app.now();
    let fresh = match &news {
        Update::Member { info, state } => {
            // The view passes on what is new itself.
            app.view().apply(info, *state, now);
            false
        }
        Update::Crashed { print, crash } => {
            app.quarantine().record_crash(*print, crash.clone(), now)
        }
        Update::Leaving { engine, boot } => {
            let mut fleet = app.fleet();
            let known = fleet.engine(engine).filter(|e| !e.leaving && e.boot == *boot);
            known.map(|e| e.leaving = true).is_some()
        }
        Update::Paused { engine, number, on, role } => {
            app.fleet().record_paused_role(engine, (*number, *on), *role, now)
        }
        Update::CellHolder { cell, holder, address, number } => {
            let found = CellHolder { holder: holder.clone(), address: *address, number: *number };
            app.holders().record_holder(cell, found)
        }
    };
    if fresh {
        app.view().queue_update(news);
    }
}

/// Answers what was asked by connection.
pub(super) async fn request(app: &Arc<App>, envelope: Envelope) -> Message {
    match envelope.body {
        Message::Pull { have } => Message::PullReply(pulled(app, have)),
        Message::StepDown { cell, holder } => {
            match holder == app.me && control::step_down(app, &cell).await {
                true => Message::SteppedDown,
                false => Message::Refused,
            }
        }
        _ => Message::Refused,
    }
}

fn pulled(app: &App, have: Revision) -> PullReply {
    let Some(force) = app.active_manifest().filter(|f| f.index.revision > have) else {
        return PullReply::Unchanged;
    };
    let revision = force.index.revision;
    let recent = &force.record.recent;
    match recent.iter().position(|e| e.base == have && have.0 > 0) {
        Some(from) => {
            let edits = recent.iter().skip(from).cloned().collect();
            PullReply::Edits { revision, edits }
        }
        None => PullReply::Full { revision, record: Box::new((*force.record).clone()) },
    }
}
