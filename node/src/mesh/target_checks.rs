use {
    super::extensions::send_extension,
    crate::{app::App, ports::Target, reach::probe_target},
    futures_util::{stream::FuturesUnordered, StreamExt},
    lentil_core::{
        ids::{EngineId, Incarnation},
        mesh::{Extension, MemberInfo, TargetCheck, TargetState},
        order::Holder,
        poison::Verdict,
    },
    rand::seq::SliceRandom,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Most other instances that are asked about one target.
const MAX_ASKED: usize = 3;
/// Time within which an instance that reaches a target says so.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks some other instances of the region whether they reach a target that this one does not reach.
/// Returns whether one does.
pub async fn is_reached_by_others(app: &App, target: &Target) -> bool {
    let mut members: Vec<MemberInfo> = {
        let view = app.member_view();
        let here = view.live().map(|m| &m.info).filter(|m| m.region == app.settings.region);
        here.cloned().collect()
    };
    members.shuffle(&mut rand::thread_rng());
    members.truncate(MAX_ASKED);
    let mut replies: FuturesUnordered<_> = members.iter().map(|m| ask(app, m, target)).collect();
    let reached = async {
        while let Some(alive) = replies.next().await {
            if alive {
                return true;
            }
        }
        false
    };
    timeout(REPLY_TIMEOUT, reached).await.unwrap_or(false)
}

async fn ask(app: &App, member: &MemberInfo, target: &Target) -> bool {
    let (waiting, receiver) = app.target_questions.begin();
    let check =
        TargetCheck { number: waiting.number, target: target.id.to_string(), boot: target.boot.0 };
    if !send_extension(app, member.address, &member.id, Extension::TargetCheck(check)).await {
        return false;
    }
    receiver.await.is_ok_and(|state| state.alive)
}

/// Asks the target for a report, and answers whether its incarnation is the one in question.
pub(super) fn answer_target_check(
    app: &Arc<App>,
    from: &Holder,
    address: SocketAddr,
    message: TargetCheck,
) {
    let Ok(id) = message.target.parse::<EngineId>() else { return };
    let known = app.fleet().engine(&id).map(|e| Target::from_view(e));
    let target = known.map(|t| Target { boot: Incarnation(message.boot), ..t });
    let (app, to) = (app.clone(), from.instance.clone());
    tokio::spawn(async move {
        let alive = match target {
            Some(target) => probe_target(&app, &target).await == Verdict::Alive,
            None => false,
        };
        let state = Extension::TargetState(TargetState { number: message.number, alive });
        send_extension(&app, address, &to, state).await;
    });
}

pub(super) fn record_target_state(app: &App, message: TargetState) {
    app.target_questions.record_reply(message.number, message);
}
