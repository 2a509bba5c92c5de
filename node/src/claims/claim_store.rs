use {
    super::committer::Committer,
    crate::{app::Clock, ports::ConfigStore},
    lentil_core::{
        claim::{ClaimEdit, ClaimKey, ClaimResult},
        error::{ErrorKind, Fault},
        settings::ClaimSettings,
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, PoisonError},
    },
    tokio::sync::{mpsc, oneshot},
};

/// Maximum number of edits that wait in the queue of one bucket.
const QUEUE_CAPACITY: usize = 1_024;

/// A queued edit, with the channel for its result.
pub(super) struct PendingEdit {
    pub key: ClaimKey,
    pub edit: ClaimEdit,
    pub reply: oneshot::Sender<Result<ClaimResult, Fault>>,
}

/// Claims of run-once requests in the configuration store.
///
/// Each bucket of claims is one store value, written by one committer task that batches its edits.
pub struct ClaimStore {
    store: Arc<dyn ConfigStore>,
    settings: ClaimSettings,
    clock: Clock,
    queues: Mutex<HashMap<u32, mpsc::Sender<PendingEdit>>>,
}

impl ClaimStore {
    /// Creates a claim store over `store`; `settings` give the number of buckets.
    pub fn new(store: Arc<dyn ConfigStore>, settings: ClaimSettings, clock: Clock) -> Self {
        Self { store, settings, clock, queues: Mutex::default() }
    }

    /// Writes one edit, batched with others of its bucket, and returns its result.
    ///
    /// # Errors
    /// [`ErrorKind::NoClaims`] if the bucket's queue is full, or if it is not certain that the edit
    /// was written.
    pub async fn submit(&self, key: ClaimKey, edit: ClaimEdit) -> Result<ClaimResult, Fault> {
        let (reply, result) = oneshot::channel();
        let queue = self.queue(key.bucket(self.settings.buckets));
        let queue_full = |_| Fault::new(ErrorKind::NoClaims, "the queue of claims is full");
        queue.try_send(PendingEdit { key, edit, reply }).map_err(queue_full)?;
        result.await.unwrap_or_else(|_| {
            Err(Fault::new(ErrorKind::NoClaims, "the task that writes claims has ended"))
        })
    }

    /// Returns the queue of a bucket, and starts its committer at the first use.
    fn queue(&self, bucket: u32) -> mpsc::Sender<PendingEdit> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        queues
            .entry(bucket)
            .or_insert_with(|| {
                let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
                let store = self.store.clone();
                let committer = Committer::new(store, self.settings.clone(), self.clock, bucket);
                tokio::spawn(committer.run(receiver));
                sender
            })
            .clone()
    }
}
