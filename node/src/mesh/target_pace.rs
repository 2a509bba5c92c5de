use {
    crate::app::App,
    lentil_core::{mesh::TargetPace, order::Holder},
    std::{net::SocketAddr, sync::Arc},
};

/// Records the pace of targets as another instance knows it.
pub(super) fn record_target_pace(
    _app: &Arc<App>,
    _from: &Holder,
    _address: SocketAddr,
    _message: TargetPace,
) {
}
