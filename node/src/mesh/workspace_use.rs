use {
    crate::app::App,
    lentil_core::{mesh::WorkspaceUse, order::Holder},
    std::{net::SocketAddr, sync::Arc},
};

/// Records another instance's use of the workspaces.
pub(super) fn record_workspace_use(
    _app: &Arc<App>,
    _from: &Holder,
    _address: SocketAddr,
    _message: WorkspaceUse,
) {
}
