use {
    super::send_datagram,
    crate::{app::App, usage},
    lentil_core::{
        ids::InstanceId,
        mesh::{Heartbeat, MemberState, Message, Update},
    },
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc},
    tokio::time::sleep,
};

/// Number of members that get a heartbeat in each period.
const HEARTBEAT_FANOUT: usize = 2;
/// Number of members that get a direct announcement when this instance leaves.
const LEAVE_FANOUT: usize = 8;
/// Most updates in one heartbeat; with more it may not fit a datagram.
const MAX_HEARTBEAT_UPDATES: usize = 6;

/// Sends heartbeats to other members periodically; never returns.
pub async fn send_heartbeats(app: Arc<App>) {
    let mut known = BTreeSet::new();
    loop {
        let now = app.now();
        let members = app.member_view().next_heartbeats(HEARTBEAT_FANOUT, now);
        log_member_changes(&app, &mut known);
        for member in members {
            send_heartbeat(&app, member.address, Some(member.id), true).await;
        }
        sleep(app.settings.mesh.beat.duration()).await;
    }
}

/// Logs which instances joined or left since the last call.
fn log_member_changes(app: &App, known: &mut BTreeSet<InstanceId>) {
    let live: BTreeSet<InstanceId> = app.member_view().live().map(|m| m.info.id.clone()).collect();
    if live.difference(known).next().is_some() {
        usage::repeat_holder(app);
    }
    live.difference(known).for_each(|id| log::info!("mesh: member={id} lives"));
    known.difference(&live).for_each(|id| log::info!("mesh: member={id} gone"));
    *known = live;
}

/// Sends a heartbeat to an address of the platform's list; its instance may not be a member yet.
pub async fn contact(app: &App, address: SocketAddr) {
    send_heartbeat(app, address, None, true).await;
}

/// Announces to some members that this instance has left; gossip spreads it to the others.
pub async fn announce_leave(app: &App) {
    let now = app.now();
    let (me, members) = {
        let mut view = app.member_view();
        let me = view.me().clone();
        view.queue_update(Update::Member { info: me.clone(), state: MemberState::Left });
        (me, view.next_heartbeats(LEAVE_FANOUT, now))
    };
    for member in members {
        let updates = vec![Update::Member { info: me.clone(), state: MemberState::Left }];
        let heartbeat =
            Heartbeat { me: me.clone(), reply: false, revision: app.revision(), updates };
        send_datagram(app, member.address, Some(member.id), Message::Heartbeat(heartbeat)).await;
    }
}

pub(super) async fn send_heartbeat(
    app: &App,
    address: SocketAddr,
    to: Option<InstanceId>,
    reply: bool,
) {
    let (me, updates) = {
        let mut view = app.member_view();
        (view.me().clone(), view.take_updates(MAX_HEARTBEAT_UPDATES))
    };
    let heartbeat = Heartbeat { me, reply, revision: app.revision(), updates };
    send_datagram(app, address, to.clone(), Message::Heartbeat(heartbeat)).await;
    let digest = app.quarantine().digest(app.now());
    if !digest.is_empty() {
        send_datagram(app, address, to, Message::QuarantineDigest(digest)).await;
    }
}
