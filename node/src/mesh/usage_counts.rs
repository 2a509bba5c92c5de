use {
    crate::app::App,
    lentil_core::{mesh::UsageCounts, order::Holder},
    std::{net::SocketAddr, sync::Arc},
};

/// Records another instance's counts of requests by window.
pub(super) fn record_usage_counts(
    _app: &Arc<App>,
    _from: &Holder,
    _address: SocketAddr,
    _message: UsageCounts,
) {
}
