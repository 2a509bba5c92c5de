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

/// Edits that wait for one bucket at most.
const QUEUE: usize = 1_024;

/// An edit that waits to be written.
pub(super) struct PendingEdit {
    pub key: ClaimKey,
    pub edit: ClaimEdit,
    pub reply: oneshot::Sender<Result<ClaimResult, Fault>>,
}

/// Run-once records, written by one committer a bucket.
pub struct ClaimStore {
    store: Arc<dyn ConfigStore>,
    settings: ClaimSettings,
    clock: Clock,
    queues: Mutex<HashMap<u32, mpsc::Sender<PendingEdit>>>,
}

impl ClaimStore {
    /// A book over a store.
    pub fn new(store: Arc<dyn ConfigStore>, settings: ClaimSettings, clock: Clock) -> Self {
        Self { store, settings, clock, queues: Mutex::default() }
    }

    /// Writes one edit together with others of its bucket, and tells what became of it.
    ///
    /// # Errors
    /// [`ErrorKind::NoClaims`] if it could not be written for certain.
    pub async fn submit(&self, key: ClaimKey, edit: ClaimEdit) -> Result<ClaimResult, Fault> {
        let (reply, answer) = oneshot::channel();
        let queue = self.queue(key.bucket(self.settings.buckets));
        let full = |_| Fault::new(ErrorKind::NoClaims, "too many claims wait to be written");
        queue.try_send(PendingEdit { key, edit, reply }).map_err(full)?;
        answer
            .await
            .unwrap_or_else(|_| Err(Fault::new(ErrorKind::NoClaims, "the claim was dropped")))
    }

    fn queue(&self, bucket: u32) -> mpsc::Sender<PendingEdit> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        queues
            .entry(bucket)
            .or_insert_with(|| {
                let (sender, receiver) = mpsc::channel(QUEUE);
                let store = self.store.clone();
                let committer = Committer::new(store, self.settings.clone(), self.clock, bucket);
                tokio::spawn(committer.run(receiver));
                sender
            })
            .clone()
    }
}
