use {
    lentil_core::{
        ids::RunId,
        stream::{Chunk, EndReason},
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// Time without a reader after which a run is stopped, or removed if it has ended.
pub(super) const IDLE_RUN_TTL: Duration = Duration::from_secs(10);

/// Output of a run so far.
#[derive(Debug, Clone)]
pub(super) struct RunOutput {
    /// Number of leading tokens of the answer that another engine generated.
    pub base: u64,
    /// Tokens generated here.
    pub tokens: Vec<String>,
    /// Why the run is complete; `None` while it runs and if it was stopped early.
    pub end: Option<EndReason>,
    /// Whether no more tokens follow, because the run is complete or was stopped.
    pub closed: bool,
}

impl RunOutput {
    /// The chunk at an offset of the complete answer, if it has been generated.
    pub(super) fn chunk(&self, run: &RunId, offset: u64) -> Option<Chunk> {
        let run = run.clone();
        let index = offset.checked_sub(self.base)? as usize;
        if let Some(text) = self.tokens.get(index) {
            return Some(Chunk { run, offset, text: text.clone(), end: None });
        }
        let end = self.end.filter(|_| index == self.tokens.len())?;
        Some(Chunk { run, offset, text: String::new(), end: Some(end) })
    }
}

/// A run with its output, which any number of readers can watch.
#[derive(Debug)]
pub(super) struct Run {
    pub output: watch::Sender<RunOutput>,
    last_read: Mutex<Instant>,
}

impl Run {
    /// Records that the run has a reader now.
    pub(super) fn mark_read(&self) {
        *self.last_read.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// Whether the run has had no reader for [`IDLE_RUN_TTL`].
    pub(super) fn is_abandoned(&self) -> bool {
        let last_read = self.last_read.lock().unwrap_or_else(PoisonError::into_inner);
        last_read.elapsed() > IDLE_RUN_TTL
    }
}

/// All runs of an engine.
#[derive(Debug, Default)]
pub(super) struct Runs(Mutex<HashMap<RunId, Arc<Run>>>);

impl Runs {
    fn map(&self) -> MutexGuard<'_, HashMap<RunId, Arc<Run>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a run, and removes closed runs without a reader.
    pub(super) fn insert(&self, id: &RunId, base: u64) -> Arc<Run> {
        let output = RunOutput { base, tokens: Vec::new(), end: None, closed: false };
        let run = Arc::new(Run {
            output: watch::Sender::new(output),
            last_read: Mutex::new(Instant::now()),
        });
        let mut map = self.map();
        map.retain(|_, r| !(r.output.borrow().closed && r.is_abandoned()));
        map.insert(id.clone(), run.clone());
        run
    }

    pub(super) fn get(&self, id: &RunId) -> Option<Arc<Run>> {
        self.map().get(id).cloned()
    }

    /// Stops and removes a run.
    pub(super) fn cancel(&self, id: &RunId) {
        if let Some(run) = self.map().remove(id) {
            run.output.send_modify(|o| o.closed = true);
        }
    }

    /// Stops and removes all runs, and returns the number of unfinished ones.
    pub(super) fn cancel_all(&self) -> usize {
        let runs = std::mem::take(&mut *self.map());
        let unfinished = runs.values().filter(|r| !r.output.borrow().closed).count();
        runs.values().for_each(|r| r.output.send_modify(|o| o.closed = true));
        unfinished
    }

    /// Number of runs that are not closed.
    pub(super) fn unfinished(&self) -> usize {
        self.map().values().filter(|r| !r.output.borrow().closed).count()
    }
}
