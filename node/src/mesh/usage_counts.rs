use {
    crate::app::App,
    lentil_core::{ids::InstanceId, usage::UsageCounts},
    std::net::SocketAddr,
};

/// Sends a message of the usage reports to an instance. Protocol version 1 has no such message, so
/// nothing is sent.
pub(crate) async fn send_usage_counts(
    _app: &App,
    address: SocketAddr,
    _id: InstanceId,
    _counts: UsageCounts,
) {
    log::debug!("mesh: usage counts for {address} are not sent");
}

/// Sends a message of the usage reports to all members of the view. Protocol version 1 has no such
/// message, so nothing is sent.
pub(crate) async fn broadcast_usage_counts(_app: &App, _counts: UsageCounts) {
    log::debug!("mesh: usage counts are not broadcast");
}
