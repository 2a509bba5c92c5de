use {
    futures_util::future::BoxFuture,
    lentil_core::{fleet::TargetChange, ids::Revision, routes::RouteTable},
    std::time::Duration,
    thiserror::Error,
};

/// An error from the platform's target directory.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DirectoryError {
    /// Changes since the requested revision are no longer available: all targets must be read
    /// again.
    #[error("changes since the requested revision are no longer available")]
    HistoryExpired,
    /// The directory could not be reached, refused the request, or sent a malformed response.
    #[error("the target directory is unavailable: {0}")]
    Unavailable(String),
}

/// Changes among the targets up to a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetChanges {
    /// Directory revision after the changes.
    pub revision: Revision,
    /// Changes in the order in which they happened.
    pub changes: Vec<TargetChange>,
}

/// The platform's directory of registered targets, and its routes.
pub trait Directory: Send + Sync {
    /// Reads all targets, as changes from an empty directory.
    fn targets(&self) -> BoxFuture<'_, Result<TargetChanges, DirectoryError>>;

    /// Waits up to `wait` for target changes after revision `after`.
    fn target_changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<TargetChanges, DirectoryError>>;

    /// Reads the routes and the revision at which they were written; `None` if there are no routes
    /// yet.
    fn routes(&self) -> BoxFuture<'_, Result<(Revision, Option<RouteTable>), DirectoryError>>;

    /// Waits up to `wait` for routes newer than revision `after`.
    fn newer_routes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<(Revision, Option<RouteTable>), DirectoryError>>;
}
