use {
    futures_util::future::BoxFuture,
    lentil_core::ids::{LeaseId, Revision},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    thiserror::Error,
};

/// A key of the key-value service with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreEntry {
    /// Key of the entry.
    pub key: String,
    /// Stored value.
    pub value: String,
    /// Revision at which the value was written; revisions increase across all keys.
    pub revision: Revision,
}

/// An error of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The key was at another revision than expected: nothing was written.
    #[error("key has another revision than expected: {0}")]
    Conflict(Revision),
    /// The lease has expired or never existed.
    #[error("lease does not exist or has expired")]
    NoLease,
    /// The service could not be reached, or refused the call: nothing was written.
    #[error("key-value service is unavailable: {0}")]
    Unavailable(String),
    /// No valid response arrived: a write may have been applied.
    #[error("outcome of the call to the key-value service is unknown: {0}")]
    Unknown(String),
}

/// Client for the platform's key-value service, with compare-and-swap writes, leases and watches.
pub trait ConfigStore: Send + Sync {
    /// Reads a key.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoreEntry>, StoreError>>;

    /// Reads a key; the result may be some seconds old. Cheaper than [`Self::read`] where the service
    /// has such reads.
    fn read_stale<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<StoreEntry>, StoreError>> {
        self.read(key)
    }

    /// Writes a key by compare-and-swap: only if it is at revision `base`, where 0 means that the
    /// key must not exist. A key written with a lease is deleted when the lease expires.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        value: String,
        base: Revision,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>>;

    /// Deletes a key if it is at revision `base`.
    fn remove<'a>(&'a self, key: &'a str, base: Revision) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Waits up to `wait` until the key's revision is above `after`, then reads it.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<StoreEntry>, StoreError>>;

    /// Creates a lease; keys written with it are deleted when it expires.
    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>>;

    /// Renews a lease for its full duration.
    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Revokes a lease before it expires.
    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;
}
