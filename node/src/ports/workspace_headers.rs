use {
    hyper::HeaderMap,
    lentil_core::{ids::WorkspaceId, routes::CallerKey},
};

/// Headers of proxied requests that carry a caller's key and name its workspace to targets.
pub trait WorkspaceHeaders: Send + Sync {
    /// Returns the key that a request carries.
    fn key<'a>(&self, headers: &'a HeaderMap) -> CallerKey<'a>;

    /// Returns the workspace that a request names to targets; `None` also if the name is invalid.
    fn workspace(&self, headers: &HeaderMap) -> Option<WorkspaceId>;

    /// Removes the key and any workspace that the caller names, and names `workspace` instead.
    fn replace(&self, headers: &mut HeaderMap, workspace: Option<&WorkspaceId>);
}
