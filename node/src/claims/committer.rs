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

/// Edits written together at most.
const MAX_GROUP: usize = 128;
/// Attempts to write a group of claims until they are refused.
const ATTEMPTS: u32 = 8;
/// Pause between attempts to write how runs ended while the store is down.
const PAUSE: Duration = Duration::from_millis(200);

/// Writes the edits of one bucket, each group by one compare-and-swap.
pub(super) struct Committer {
    store: Arc<dyn ConfigStore>,
    settings: ClaimSettings,
    clock: Clock,
    key: String,
    known: Option<(Bucket, Revision)>,
}

impl Committer {
    pub(super) fn new(
        store: Arc<dyn ConfigStore>,
        settings: ClaimSettings,
        clock: Clock,
        bucket: u32,
    ) -> Self {
        Self { store, settings, clock, key: format!("claims/{bucket}"), known: None }
    }

    pub(super) async fn run(mut self, mut queue: mpsc::Receiver<PendingEdit>) {
        let mut owed: Vec<PendingEdit> = Vec::new();
        loop {
            let mut group = std::mem::take(&mut owed);
            if group.is_empty() {
                match queue.recv().await {
                    Some(first) => group.push(first),
                    None => return,
                }
            } else {
                sleep(PAUSE).await;
            }
            let end = Instant::now() + self.settings.gather.duration();
            while group.len() < MAX_GROUP {
                match timeout_at(end, queue.recv()).await {
                    Ok(Some(request)) => group.push(request),
                    Ok(None) | Err(_) => break,
                }
            }
            owed = self.write(group).await;
        }
    }

    /// Writes a group and answers it; gives back what must be written later all the same.
    async fn write(&mut self, group: Vec<PendingEdit>) -> Vec<PendingEdit> {
        let error = match self.commit(&group).await {
            Ok(verdicts) => {
                for (request, verdict) in group.into_iter().zip(verdicts) {
                    // Nobody waits for an edit that was owed.
                    let _ = request.reply.send(Ok(verdict));
                }
                return Vec::new();
            }
            Err(error) => error,
        };
        self.known = None;
        let mut owed = Vec::new();
        for request in group {
            let ClaimEdit::Claim { run, .. } = &request.edit else {
                owed.push(request);
                continue;
            };
            // The claim may stand in the store although it is refused here.
            if matches!(error, StoreError::Unknown(_)) {
                let (reply, _) = tokio::sync::oneshot::channel();
                let edit = ClaimEdit::Release { run: run.clone() };
                owed.push(PendingEdit { key: request.key, edit, reply });
            }
            let text = format!("the claim was not written: {error}");
            let _ = request.reply.send(Err(Fault::new(ErrorKind::NoClaims, text)));
        }
        owed
    }

    async fn commit(&mut self, group: &[PendingEdit]) -> Result<Vec<ClaimResult>, StoreError> {
        let mut last = StoreError::Unavailable("no attempt was made".into());
        let mut doubt = false;
        for _ in 0..ATTEMPTS {
            match self.attempt(group).await {
                Ok(verdicts) => return Ok(verdicts),
                Err(StoreError::Conflict(at)) => {
                    self.known = None;
                    last = StoreError::Conflict(at);
                }
                Err(StoreError::Unknown(text)) => {
                    self.known = None;
                    doubt = true;
                    last = StoreError::Unknown(text);
                }
                Err(error) => {
                    // What an earlier attempt left open stays open.
                    return Err(match doubt {
                        true => StoreError::Unknown(error.to_string()),
                        false => error,
                    });
                }
            }
        }
        Err(match doubt {
            true => StoreError::Unknown(last.to_string()),
            false => last,
        })
    }

    /// One read, if the bucket is not known, and one write. A lost answer is not settled here:
    /// the next attempt reads the bucket and finds its runs in it, or not.
    async fn attempt(&mut self, group: &[PendingEdit]) -> Result<Vec<ClaimResult>, StoreError> {
        let cached = self.known.is_some();
        let (before, base) = match self.known.take() {
            Some(known) => known,
            None => self.read().await?,
        };
        let mut bucket = before.clone();
        let at = self.clock.unix_time();
        let mut verdicts = Vec::with_capacity(group.len());
        for request in group {
            verdicts.push(bucket.apply(request.key, &request.edit, at));
        }
        if bucket.claims == before.claims {
            if cached {
                // Only a write would show that another instance has changed the bucket since.
                return Err(StoreError::Conflict(base));
            }
            self.known = Some((bucket, base));
            return Ok(verdicts);
        }
        bucket.prune(at, self.settings.keep);
        bucket.writer = random_id::<WriterToken>("w");
        let value =
            serde_json::to_string(&bucket).map_err(|e| StoreError::Unavailable(e.to_string()))?;
        let revision = self.store.swap(&self.key, value, base, None).await?;
        self.known = Some((bucket, revision));
        Ok(verdicts)
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
