use {
    super::probe::probe_some,
    crate::{
        app::{App, Phase},
        mesh::ask,
    },
    futures_util::future::join_all,
    lentil_core::{
        ids::ModelId,
        manifest::Role,
        mesh::{MemberInfo, Question, RelayOffer, Reply},
        reach::{Relay, MAX_RELAYS},
    },
    rand::seq::SliceRandom,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Time after which no further instances are asked in one check.
const OFFER_TIME: Duration = Duration::from_millis(250);
/// Interval in which instances are asked until one reaches the service: they may have to ask a target
/// themselves.
const OFFER_RETRY: Duration = Duration::from_millis(100);
/// Targets that an instance asks for a report before it says that it reaches a service.
const ASKED_TARGETS: usize = 2;

/// What has come of questions to other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Replies {
    /// There was no other instance to ask.
    NoneAsked,
    /// None has answered: this instance may be cut off from them too.
    Nothing,
    /// At least one has answered.
    Some,
}

/// Asks other instances whether they reach a service, until one does or the time for that is over.
pub(super) async fn collect_offers(app: &App, service: &ModelId) -> Replies {
    let end = app.now() + OFFER_TIME;
    let mut replies = Replies::NoneAsked;
    loop {
        replies = replies.max(ask_once(app, service).await);
        let now = app.now();
        if app.reach().of(service).relays.count_valid(now) > 0 || now >= end {
            return replies;
        }
        sleep(OFFER_RETRY).await;
    }
}

/// Asks some other instances whether they reach a service, and records those that do.
pub(super) async fn ask_once(app: &App, service: &ModelId) -> Replies {
    let question = Question::Reach(service.clone());
    let ask_one = |member: MemberInfo| {
        let question = &question;
        async move {
            let Some(reply) = ask(app, &member.id, member.address, question).await else {
                return Replies::Nothing;
            };
            let Reply::Reach(RelayOffer { address, targets }) = reply else {
                return Replies::Some;
            };
            let near = member.zone == app.settings.zone;
            let relay = Relay { id: member.id, address, near, targets: targets as usize };
            let now = app.now();
            app.reach().of(service).relays.record(relay, now);
            Replies::Some
        }
    };
    let replies = join_all(some_members(app).into_iter().map(ask_one)).await;
    replies.into_iter().max().unwrap_or(Replies::NoneAsked)
}

/// Returns random instances of the region, half of them in the own availability zone if there are as
/// many.
fn some_members(app: &App) -> Vec<MemberInfo> {
    let settings = &app.settings;
    let mut members: Vec<MemberInfo> = {
        let view = app.member_view();
        let here = view.live().map(|m| &m.info).filter(|m| m.region == settings.region);
        here.cloned().collect()
    };
    members.shuffle(&mut rand::thread_rng());
    let (mut near, mut far): (Vec<_>, Vec<_>) =
        members.into_iter().partition(|m| m.zone == settings.zone);
    near.truncate(MAX_RELAYS - far.len().min(MAX_RELAYS / 2));
    far.truncate(MAX_RELAYS - near.len());
    near.into_iter().chain(far).collect()
}

/// Answers another instance's question whether this one reaches a service. Without a recent sign of a
/// target some are asked, and the next question is answered.
pub fn answer_reach_question(app: &Arc<App>, service: &ModelId) -> Reply {
    let now = app.now();
    let address = app.settings.mesh.relay.filter(|_| app.links.has_room());
    let Some(address) = address.filter(|_| *app.phase.borrow() == Phase::Serving) else {
        return Reply::Unknown;
    };
    let (evident, check) = {
        let mut reach = app.reach();
        let service = reach.of(service);
        (service.is_evident(now), service.take_asked_check(now))
    };
    if check {
        let (app, service) = (app.clone(), service.clone());
        tokio::spawn(async move { probe_some(&app, &service, ASKED_TARGETS).await });
    }
    if !evident {
        return Reply::Unknown;
    }
    let fleet = app.fleet();
    let open = fleet
        .engines
        .iter()
        .filter(|e| e.model == *service && e.role == Role::Decode && e.would_accept_work(now));
    match open.count() as u32 {
        0 => Reply::Unknown,
        targets => Reply::Reach(RelayOffer { address, targets }),
    }
}
