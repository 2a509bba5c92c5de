use {
    futures_util::future::BoxFuture,
    lentil_core::ids::{LeaseId, Revision},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    thiserror::Error,
};

/// A value of the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: String,
    /// Revision at which it was written; revisions grow over all keys.
    pub revision: Revision,
}

/// Why a call to the key-value service failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The key was at another revision: nothing was written.
    #[error("the key is at revision {0}")]
    Conflict(Revision),
    /// The lease has lapsed or never was.
    #[error("the lease is gone")]
    NoLease,
    /// The service was not reached, or refused: nothing was written.
    #[error("the key-value service is not available: {0}")]
    Unavailable(String),
    /// No answer came: it may have been written.
    #[error("the key-value service gave no answer: {0}")]
    Unknown(String),
}

/// The platform's key-value service.
pub trait ConfigStore: Send + Sync {
    /// Reads a key.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoreEntry>, StoreError>>;

    /// Writes a key if it is at revision `base`; zero stands for a key that does not exist.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        value: String,
        base: Revision,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>>;

    /// Deletes a key if it is at revision `base`.
    fn remove<'a>(&'a self, key: &'a str, base: Revision) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Waits up to `wait` for a key to pass revision `after`, and reads it.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<StoreEntry>, StoreError>>;

    /// Makes a lease; keys written with it go when it lapses.
    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>>;

    /// Renews a lease for its whole length.
    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Ends a lease.
    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;
}
