use {
    crate::app::App,
    hyper::HeaderMap,
    lentil_core::{
        error::Fault,
        ids::WorkspaceId,
        routes::{CallerKey, Route, RouteTable, Workspace},
    },
    std::sync::Arc,
};

/// Identifies the workspace of a caller's request by its key; `None` without workspaces in `table`.
///
/// # Errors
/// [`ErrorKind::NoCaller`](lentil_core::error::ErrorKind::NoCaller) or
/// [`ErrorKind::NotReady`](lentil_core::error::ErrorKind::NotReady) if the request may not be served.
pub fn identify_workspace(
    app: &App,
    table: &RouteTable,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Workspace>>, Fault> {
    let (Some(workspaces), Some(port)) = (&table.workspaces, &app.ports.workspaces) else {
        return Ok(None);
    };
    let age = app.table_freshness().age(app.now());
    let settings = app.settings.hosted.as_ref().and_then(|h| h.keys).unwrap_or_default();
    Ok(workspaces.identify(route, port.key(headers), age, &settings)?.cloned())
}

/// Replaces the key and any workspace that the caller names in the headers for targets by the name of
/// its workspace. Without workspaces in `table` the headers stay as they are.
pub fn name_workspace(
    app: &App,
    table: &RouteTable,
    headers: &mut HeaderMap,
    workspace: Option<&Workspace>,
) {
    if let (Some(_), Some(port)) = (&table.workspaces, &app.ports.workspaces) {
        port.replace(headers, workspace.map(|w| &w.id));
    }
}

/// Returns the workspace of a request that another instance relays.
///
/// That instance has replaced the key by the workspace's name. A request with a key comes from an
/// instance that doesn't check keys, because it runs an older build or knows no workspaces yet.
///
/// # Errors
/// Those of [`identify_workspace`].
pub(super) fn relayed_workspace(
    app: &App,
    route: &Route,
    headers: &mut HeaderMap,
) -> Result<Option<WorkspaceId>, Fault> {
    let table = app.routes()?;
    let (Some(_), Some(port)) = (&table.workspaces, &app.ports.workspaces) else {
        return Ok(None);
    };
    match port.key(headers) {
        CallerKey::Absent => Ok(port.workspace(headers)),
        CallerKey::Invalid | CallerKey::Valid(_) => {
            let found = identify_workspace(app, &table, route, headers)?;
            name_workspace(app, &table, headers, found.as_deref());
            Ok(found.map(|w| w.id.clone()))
        }
    }
}
