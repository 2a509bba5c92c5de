use {
    super::{ask, broadcast},
    crate::app::App,
    lentil_core::{
        ids::{EngineId, InstanceId, Region},
        limit::Permit,
        mesh::{LimitNote, Message, PermitRequest, Question, Reply},
    },
    std::{net::SocketAddr, sync::Arc},
};

/// Number of notes that fit one datagram, also with the longest names.
const NOTES_PER_DATAGRAM: usize = 6;
/// Most instances that are asked for one permit: views differ about which one holds a schedule.
const MAX_HOPS: u32 = 3;

/// Tells all members of the view, as they come, of limits that this instance has seen begin, change
/// or end; never returns.
pub async fn announce_limits(app: Arc<App>) {
    loop {
        let notes = app.take_limit_notes().await;
        for notes in notes.chunks(NOTES_PER_DATAGRAM) {
            broadcast(&app, Message::Limits(notes.to_vec())).await;
        }
    }
}

/// Records limits that another instance has seen.
pub(super) fn record_limits(app: &App, from: &InstanceId, notes: &[LimitNote]) {
    let now = app.now();
    for LimitNote { engine: id, boot, rate, age } in notes {
        app.record_limit(id, Some(*boot), *rate, now.earlier(age.duration()), from.as_str());
    }
}

/// Requests a permit for one request to a limited target from the instance that holds the target's
/// schedule; `None` if no instance gives permits.
///
/// All instances together must stay within the limit, and each sees only its own requests. One of
/// them, by the hash of the target's name, therefore gives the permits for all.
pub async fn request_permit(app: &App, region: &Region, request: &PermitRequest) -> Option<Permit> {
    let mut holder = holder(app, &request.engine, region)?;
    for _ in 0..MAX_HOPS {
        if holder.0 == app.identity.instance {
            return give_permit(app, request);
        }
        let question = Question::Permit(request.clone());
        match ask(app, &holder.0, holder.1, &question).await? {
            Reply::Permit(permit) => return Some(permit),
            Reply::AskInstead(id, address) => holder = (id, address),
            Reply::Unknown | Reply::StreamOrigin(_) | Reply::Reach(_) => return None,
        }
    }
    None
}

/// Answers another instance's request for a permit.
pub(super) fn answer_permit_request(app: &App, request: &PermitRequest) -> Reply {
    let region = app.fleet().engine(&request.engine).map(|e| e.region.clone());
    let holder = region.and_then(|region| holder(app, &request.engine, &region));
    let Some((id, address)) = holder else {
        return Reply::Unknown;
    };
    if id != app.identity.instance {
        return Reply::AskInstead(id, address);
    }
    give_permit(app, request).map_or(Reply::Unknown, Reply::Permit)
}

/// Returns the instance that holds the schedule of a target, by this instance's view.
fn holder(app: &App, engine: &EngineId, region: &Region) -> Option<(InstanceId, SocketAddr)> {
    let view = app.member_view();
    view.duty_holder(engine.as_str(), region).map(|m| (m.id.clone(), m.address))
}

/// Gives a permit from the schedule that this instance holds. It uses the part of the rate that
/// corresponds to the instances in its view: in a partition each side has a holder.
fn give_permit(app: &App, request: &PermitRequest) -> Option<Permit> {
    let now = app.now();
    let share = app.member_view().held_share(now)?;
    let mut fleet = app.fleet();
    let engine = fleet.engine(&request.engine).filter(|e| e.boot == request.boot)?;
    let rate = engine.limit.rate().map_or(request.rate, |known| known.min(request.rate));
    Some(engine.permits.take((rate, share), request.wait, rand::random(), now))
}
