use {
    super::handlers,
    crate::app::App,
    lentil_core::{
        ids::InstanceId,
        mesh::{Heartbeat, MemberState, Message, Update, MAX_DATAGRAM_BYTES},
    },
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc},
    tokio::{net::UdpSocket, time::sleep},
};

/// Members beaten in one period.
const BEATS: usize = 2;
/// Members that hear a farewell directly.
const FAREWELLS: usize = 8;
/// Pieces of news in one beat; with more a beat may not fit a datagram.
const NEWS: usize = 6;

/// Beats other members for ever.
pub async fn send_heartbeats(app: Arc<App>) {
    let mut known = BTreeSet::new();
    loop {
        let now = app.now();
        let members = app.view().next_heartbeats(BEATS, now);
        tell_changes(&app, &mut known);
        for member in members {
            send_heartbeat(&app, member.address, Some(member.id), true).await;
        }
        sleep(app.settings.mesh.beat.duration()).await;
    }
}

/// Logs which instances have come and gone.
fn tell_changes(app: &App, known: &mut BTreeSet<InstanceId>) {
    let live: BTreeSet<InstanceId> = app.view().live().map(|m| m.info.id.clone()).collect();
    live.difference(known).for_each(|id| log::info!("mesh: member={id} lives"));
    known.difference(&live).for_each(|id| log::info!("mesh: member={id} gone"));
    *known = live;
}

/// Beats an instance that only the platform's list knows.
pub async fn contact(app: &App, address: SocketAddr) {
    send_heartbeat(app, address, None, true).await;
}

/// Tells some members that this instance has stopped.
pub async fn announce_leave(app: &App) {
    let now = app.now();
    let (me, members) = {
        let mut view = app.view();
        let me = view.me().clone();
        view.queue_update(Update::Member { info: me.clone(), state: MemberState::Left });
        (me, view.next_heartbeats(FAREWELLS, now))
    };
    for member in members {
        let news = vec![Update::Member { info: me.clone(), state: MemberState::Left }];
        let beat =
            Heartbeat { me: me.clone(), reply: false, revision: app.revision(), updates: news };
        send_datagram(app, member.address, Some(member.id), Message::Heartbeat(beat)).await;
    }
}

pub(super) async fn send_heartbeat(
    app: &App,
    address: SocketAddr,
    to: Option<InstanceId>,
    reply: bool,
) {
    let (me, news) = {
        let mut view = app.view();
        (view.me().clone(), view.take_updates(NEWS))
    };
    let beat = Heartbeat { me, reply, revision: app.revision(), updates: news };
    send_datagram(app, address, to, Message::Heartbeat(beat)).await;
}

/// Sends one datagram; one that can't be sent is lost like any other.
pub(crate) async fn send_datagram(
    app: &App,
    address: SocketAddr,
    to: Option<InstanceId>,
    body: Message,
) {
    let Ok(frame) = app.frame_codec.seal(app, to, body, MAX_DATAGRAM_BYTES) else {
        return log::warn!("mesh: a message for {address} does not fit a datagram");
    };
    if let Some(socket) = app.socket.get() {
        let _ = socket.send_to(&frame, address).await;
    }
}

/// Takes in datagrams for ever.
pub async fn listen_datagrams(app: Arc<App>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, address)) = socket.recv_from(&mut buffer).await else { continue };
        match app.frame_codec.open(&app, &buffer[..length], MAX_DATAGRAM_BYTES) {
            Ok(envelope) => handlers::datagram(&app, address, envelope).await,
            Err(error) => log::debug!("mesh: datagram from {address} refused: {error}"),
        }
    }
}
