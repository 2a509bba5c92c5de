use {
    super::claim_store::PendingEdit,
    crate::{
        app::{random_id, Clock},
        ports::{ConfigStore, StoreError},
    },
    lentil_core::{
        claim::{Bucket, ClaimEdit, ClaimResult},
        error::{ErrorKind, Fault},
        ids::{Revision, WriterToken},
        settings::ClaimSettings,
    },
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{sleep, timeout_at, Instant},
    },
};

/// Maximum number of edits written by one compare-and-swap.
const MAX_BATCH_EDITS: usize = 128;
/// Maximum number of attempts to write a batch before its claims are refused.
const MAX_ATTEMPTS: u32 = 8;
/// Delay before edits that must not be lost, such as the ends of runs, are written again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Writes the edits of one bucket, each batch by one compare-and-swap.
pub(super) struct Committer {
    store: Arc<dyn ConfigStore>,
    settings: ClaimSettings,
    clock: Clock,
    key: String,
    /// The bucket as last read or written; `None` after a failed write.
    cached: Option<(Bucket, Revision)>,
}

impl Committer {
    pub(super) fn new(
        store: Arc<dyn ConfigStore>,
        settings: ClaimSettings,
        clock: Clock,
        bucket: u32,
    ) -> Self {
        Self { store, settings, clock, key: format!("claims/{bucket}"), cached: None }
    }

    /// Writes queued edits until the queue is closed.
    pub(super) async fn run(mut self, mut queue: mpsc::Receiver<PendingEdit>) {
        let mut retries: Vec<PendingEdit> = Vec::new();
        loop {
            let mut batch = std::mem::take(&mut retries);
            if batch.is_empty() {
                match queue.recv().await {
                    Some(first) => batch.push(first),
                    None => return,
                }
            } else {
                sleep(RETRY_DELAY).await;
            }
            let end = Instant::now() + self.settings.gather.duration();
            while batch.len() < MAX_BATCH_EDITS {
                match timeout_at(end, queue.recv()).await {
                    Ok(Some(pending)) => batch.push(pending),
                    Ok(None) | Err(_) => break,
                }
            }
            retries = self.write(batch).await;
        }
    }

    /// Writes a batch and sends the results; returns the edits that must still be written.
    ///
    /// If the write fails, claims are refused, while ends and releases are tried again.
    async fn write(&mut self, batch: Vec<PendingEdit>) -> Vec<PendingEdit> {
        let error = match self.commit(&batch).await {
            Ok(results) => {
                for (pending, result) in batch.into_iter().zip(results) {
                    // Nobody waits for a release that the committer added itself.
                    let _ = pending.reply.send(Ok(result));
                }
                return Vec::new();
            }
            Err(error) => error,
        };
        self.cached = None;
        let mut retries = Vec::new();
        for pending in batch {
            let ClaimEdit::Claim { run, .. } = &pending.edit else {
                retries.push(pending);
                continue;
            };
            // The store may contain the claim although it is refused here, so it is released later.
            if matches!(error, StoreError::Unknown(_)) {
                let (reply, _) = tokio::sync::oneshot::channel();
                let edit = ClaimEdit::Release { run: run.clone() };
                retries.push(PendingEdit { key: pending.key, edit, reply });
            }
            let text = format!("writing the claim failed: {error}");
            let _ = pending.reply.send(Err(Fault::new(ErrorKind::NoClaims, text)));
        }
        retries
    }

    /// Writes a batch, with up to [`MAX_ATTEMPTS`] attempts.
    async fn commit(&mut self, batch: &[PendingEdit]) -> Result<Vec<ClaimResult>, StoreError> {
        let mut last_error = StoreError::Unavailable("no attempt was made".into());
        let mut uncertain = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.attempt(batch).await {
                Ok(results) => return Ok(results),
                Err(StoreError::Conflict(at)) => {
                    self.cached = None;
                    last_error = StoreError::Conflict(at);
                }
                Err(StoreError::Unknown(text)) => {
                    self.cached = None;
                    uncertain = true;
                    last_error = StoreError::Unknown(text);
                }
                Err(error) => {
                    // An earlier attempt may have taken effect, so the result stays unknown.
                    return Err(match uncertain {
                        true => StoreError::Unknown(error.to_string()),
                        false => error,
                    });
                }
            }
        }
        Err(match uncertain {
            true => StoreError::Unknown(last_error.to_string()),
            false => last_error,
        })
    }

    /// Applies a batch with one read, if the bucket is not cached, and one write.
    ///
    /// A lost reply is not resolved here: the next attempt reads the bucket and sees whether it
    /// contains the runs of this batch.
    async fn attempt(&mut self, batch: &[PendingEdit]) -> Result<Vec<ClaimResult>, StoreError> {
        let was_cached = self.cached.is_some();
        let (before, base) = match self.cached.take() {
            Some(cached) => cached,
            None => self.read().await?,
        };
        let mut bucket = before.clone();
        let now = self.clock.unix_time();
        let mut results = Vec::with_capacity(batch.len());
        for pending in batch {
            results.push(bucket.apply(pending.key, &pending.edit, now));
        }
        if bucket.claims == before.claims {
            if was_cached {
                // Without a write it is not known whether another instance has changed the bucket
                // since it was cached, so the bucket is read and the batch applied again.
                return Err(StoreError::Conflict(base));
            }
            self.cached = Some((bucket, base));
            return Ok(results);
        }
        bucket.prune(now, self.settings.keep);
        bucket.writer = random_id::<WriterToken>("w");
        let value =
            serde_json::to_string(&bucket).map_err(|e| StoreError::Unavailable(e.to_string()))?;
        let revision = self.store.swap(&self.key, value, base, None).await?;
        self.cached = Some((bucket, revision));
        Ok(results)
    }

    async fn read(&self) -> Result<(Bucket, Revision), StoreError> {
        let Some(entry) = self.store.read(&self.key).await? else {
            return Ok((Bucket::empty(random_id("w")), Revision(0)));
        };
        let bucket = serde_json::from_str(&entry.value)
            .map_err(|e| StoreError::Unavailable(format!("key {:?}: {e}", self.key)))?;
        Ok((bucket, entry.revision))
    }
}
