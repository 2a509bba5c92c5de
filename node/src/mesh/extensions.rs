use {
    super::{
        crash_news::record_cleared_requests,
        routes::{answer_routes_query, record_routes_state},
        target_checks::{answer_target_check, record_target_state},
        target_pace::record_target_pace,
        trials::{answer_trial_request, record_trial_reply},
        usage_counts::record_usage_counts,
        workspace_use::record_workspace_use,
    },
    crate::app::App,
    lentil_core::{
        ids::InstanceId,
        mesh::{Extension, ExtensionEnvelope, EXTENSION_VERSION, MAX_DATAGRAM_BYTES},
    },
    std::{net::SocketAddr, sync::Arc},
};

/// Sends a message of version 2 to one instance, by datagram. It is omitted if the instance has not
/// announced that it understands version 2.
///
/// Returns whether a datagram was sent; any datagram may be lost.
pub async fn send_extension(
    app: &App,
    address: SocketAddr,
    id: &InstanceId,
    extension: Extension,
) -> bool {
    let understands = {
        let view = app.member_view();
        app.peer_versions.understands(id, view.member(id), EXTENSION_VERSION)
    };
    if !understands {
        app.metrics.count_extension(extension.label(), "omitted");
        return false;
    }
    let label = extension.label();
    let sealed =
        app.frame_codec.seal_extensions(app, id.clone(), vec![extension], MAX_DATAGRAM_BYTES);
    let frame = match sealed {
        Ok(frame) => frame,
        Err(error) => {
            app.metrics.count_extension(label, "failed");
            log::warn!("mesh: message={label} to={id} not sent: {error}");
            return false;
        }
    };
    let Some(socket) = app.socket.get() else { return false };
    match socket.send_to(&frame, address).await {
        Ok(_) => {
            app.metrics.count_extension(label, "sent");
            true
        }
        Err(error) => {
            app.metrics.count_extension(label, "failed");
            log::debug!("mesh: message={label} to={id} not sent: {error}");
            false
        }
    }
}

/// Sends a message of version 2 to all live members of the view that have announced that they
/// understand it, by datagram. Returns the number of datagrams sent.
pub async fn broadcast_extension(app: &App, extension: &Extension) -> usize {
    let members: Vec<_> = {
        let view = app.member_view();
        view.live().map(|m| (m.info.address, m.info.id.clone())).collect()
    };
    let mut sent = 0;
    for (address, id) in members {
        sent += usize::from(send_extension(app, address, &id, extension.clone()).await);
    }
    sent
}

/// Handles the messages of a received frame of version 2.
pub(super) fn handle(app: &Arc<App>, address: SocketAddr, envelope: ExtensionEnvelope) {
    let from = &envelope.from;
    app.peer_versions.record_frame(from, envelope.versions);
    (0..envelope.unknown).for_each(|_| app.metrics.count_extension("unknown", "received"));
    for message in envelope.messages {
        app.metrics.count_extension(message.label(), "received");
        match message {
            Extension::WorkspaceUse(message) => record_workspace_use(app, from, address, message),
            Extension::UsageCounts(message) => record_usage_counts(app, from, address, message),
            Extension::TargetPace(message) => record_target_pace(app, from, address, message),
            Extension::RoutesQuery(message) => answer_routes_query(app, from, address, message),
            Extension::RoutesState(message) => record_routes_state(app, from, message),
            Extension::ClearedRequests(message) => record_cleared_requests(app, &message),
            Extension::TargetCheck(message) => answer_target_check(app, from, address, message),
            Extension::TargetState(message) => record_target_state(app, message),
            Extension::TrialRequest(message) => answer_trial_request(app, from, address, message),
            Extension::TrialReply(message) => record_trial_reply(app, message),
        }
    }
}
