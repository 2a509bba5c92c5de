use {
    crate::{
        http::{BodyBudget, Pool},
        mesh::FrameCodec,
    },
    std::sync::Arc,
    tokio::sync::Semaphore,
};

/// Part of the concurrent requests of an instance that may come from other instances.
const RELAYED_PART: usize = 4;

/// Connections and limits for relayed requests.
pub struct RelayLinks {
    /// Connections to other instances.
    pub(super) pool: Arc<Pool>,
    /// Room for the bodies of answers that are not streams.
    pub(super) bodies: BodyBudget,
    /// Authenticates the heads of relayed requests. Its replay windows are apart from the mesh's,
    /// whose frames overtake these.
    pub(super) codec: FrameCodec,
    /// Permits for requests of other instances.
    pub(super) permits: Arc<Semaphore>,
}

impl RelayLinks {
    /// Creates the links of an instance that runs up to `open` requests at the same time, and holds up
    /// to `answers` bytes of relayed answers, beyond a small part of each.
    pub fn new(open: usize, answers: usize) -> Self {
        Self {
            pool: Arc::default(),
            bodies: BodyBudget::new(answers),
            codec: FrameCodec::default(),
            permits: Arc::new(Semaphore::new((open / RELAYED_PART).max(1))),
        }
    }

    /// Returns whether there is room for a request of another instance.
    pub fn has_room(&self) -> bool {
        self.permits.available_permits() > 0
    }

    /// Closes pooled connections that have been idle for too long.
    pub fn close_expired(&self) {
        self.pool.close_expired();
    }
}
