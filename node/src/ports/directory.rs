use {
    futures_util::future::BoxFuture,
    lentil_core::{fleet::TargetChange, ids::Revision, routes::RouteTable},
    std::time::Duration,
    thiserror::Error,
};

/// Why the directory said nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DirectoryError {
    /// What changed since is no longer known: everything must be read again.
    #[error("the history since then is gone")]
    Gone,
    /// It was not reached, refused, or answered with what can't be read.
    #[error("the directory is not available: {0}")]
    Unavailable(String),
}

/// Changes up to a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetChanges {
    /// The revision.
    pub revision: Revision,
    /// In the order in which they happened.
    pub changes: Vec<TargetChange>,
}

/// The platform's directory of targets that register themselves, and its routes.
pub trait Directory: Send + Sync {
    /// Reads all targets.
    fn targets(&self) -> BoxFuture<'_, Result<TargetChanges, DirectoryError>>;

    /// Waits at most `wait` for changes among the targets after a revision.
    fn target_changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<TargetChanges, DirectoryError>>;

    /// Reads the routes and the revision at which they were written; `None` before there are any.
    fn routes(&self) -> BoxFuture<'_, Result<(Revision, Option<RouteTable>), DirectoryError>>;

    /// Waits at most `wait` for newer routes.
    fn newer_routes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<(Revision, Option<RouteTable>), DirectoryError>>;
}
