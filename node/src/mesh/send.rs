use {
    crate::app::App,
    lentil_core::{
        ids::InstanceId,
        mesh::{Message, MAX_DATAGRAM_BYTES},
    },
    std::net::SocketAddr,
};

/// Sends one datagram. Send errors are ignored: any datagram may be lost.
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

/// Sends a message to all live members of the view, by datagram.
pub(super) async fn broadcast(app: &App, body: Message) {
    let members: Vec<_> = {
        let view = app.member_view();
        view.live().map(|m| (m.info.address, m.info.id.clone())).collect()
    };
    for (address, id) in members {
        send_datagram(app, address, Some(id), body.clone()).await;
    }
}
