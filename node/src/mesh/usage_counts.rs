use {
    super::extensions::{broadcast_extension, send_extension},
    crate::{app::App, usage},
    lentil_core::{
        ids::{Fence, InstanceId},
        mesh::{Extension, UsageCounts, WindowCounts, WorkspaceCount},
        order::Holder,
        usage::{UnixTime, UsageMessage, WindowId, WindowUsage},
    },
    std::{net::SocketAddr, sync::Arc},
};

/// Sends messages of the usage reports to an instance; returns whether all were sent.
pub(crate) async fn send_usage(
    app: &App,
    address: SocketAddr,
    id: &InstanceId,
    messages: Vec<UsageMessage>,
) -> bool {
    let parts = messages.len() as u32;
    let mut all_sent = true;
    for (part, message) in messages.into_iter().enumerate() {
        let message = UsageCounts { part: part as u32, parts, ..encode(message) };
        all_sent &= send_extension(app, address, id, Extension::UsageCounts(message)).await;
    }
    all_sent
}

/// Sends a message of the usage reports to all members of the view.
pub(crate) async fn broadcast_usage(app: &App, message: UsageMessage) {
    let message = UsageCounts { parts: 1, ..encode(message) };
    broadcast_extension(app, &Extension::UsageCounts(message)).await;
}

/// Records another instance's counts of requests by window, or its announcement that it holds the
/// duty of reporting them.
pub(super) fn record_usage_counts(
    app: &Arc<App>,
    from: &Holder,
    address: SocketAddr,
    message: UsageCounts,
) {
    usage::record_message(app, address, from, decode(message));
}

fn encode(message: UsageMessage) -> UsageCounts {
    let count = |(workspace, count)| WorkspaceCount { workspace: String::from(workspace), count };
    let window = |window: WindowUsage| WindowCounts {
        window: window.window.0,
        counts: window.counts.into_iter().map(count).collect(),
    };
    UsageCounts {
        sent_ms: message.time.map_or(0, |t| t.0),
        windows: message.windows.into_iter().map(window).collect(),
        holder: message.fence.map(|f| f.0),
        next: message.from.map(|w| w.0),
        part: 0,
        parts: 0,
    }
}

/// Decodes a message. Workspaces whose names this build considers invalid are left out.
fn decode(message: UsageCounts) -> UsageMessage {
    let count = |WorkspaceCount { workspace, count }| match workspace.parse() {
        Ok(workspace) => Some((workspace, count)),
        Err(error) => {
            log::debug!("usage: counts of a workspace left out: {error}");
            None
        }
    };
    let window = |window: WindowCounts| WindowUsage {
        window: WindowId(window.window),
        counts: window.counts.into_iter().filter_map(count).collect(),
    };
    UsageMessage {
        time: (message.sent_ms > 0).then_some(UnixTime(message.sent_ms)),
        fence: message.holder.map(Fence),
        from: message.next.map(WindowId),
        windows: message.windows.into_iter().map(window).collect(),
    }
}
