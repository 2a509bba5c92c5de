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

/// Time for which a run that nobody reads goes on, and an ended one is kept.
pub(super) const KEEP: Duration = Duration::from_secs(10);

/// The answer of a run as far as it was made.
#[derive(Debug, Clone)]
pub(super) struct Answer {
    /// Tokens of the whole answer that another engine made.
    pub base: u64,
    /// Tokens made here.
    pub tokens: Vec<String>,
    /// Why it ended.
    pub end: Option<EndReason>,
    /// Whether it was ended before its time.
    pub ended: bool,
}

impl Answer {
    /// The chunk at an offset of the whole answer, if it is there.
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

/// One run.
#[derive(Debug)]
pub(super) struct Run {
    pub answer: watch::Sender<Answer>,
    read: Mutex<Instant>,
}

impl Run {
    /// Notes that somebody reads it.
    pub(super) fn touch(&self) {
        *self.read.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// Whether nobody has read it for a while.
    pub(super) fn abandoned(&self) -> bool {
        self.read.lock().unwrap_or_else(PoisonError::into_inner).elapsed() > KEEP
    }
}

/// All runs of an engine.
#[derive(Debug, Default)]
pub(super) struct Runs(Mutex<HashMap<RunId, Arc<Run>>>);

impl Runs {
    fn map(&self) -> MutexGuard<'_, HashMap<RunId, Arc<Run>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Enters a run.
    pub(super) fn begin(&self, id: &RunId, base: u64) -> Arc<Run> {
        let answer = Answer { base, tokens: Vec::new(), end: None, ended: false };
        let run =
            Arc::new(Run { answer: watch::Sender::new(answer), read: Mutex::new(Instant::now()) });
        let mut map = self.map();
        map.retain(|_, r| !(r.answer.borrow().ended && r.abandoned()));
        map.insert(id.clone(), run.clone());
        run
    }

    /// A run by name.
    pub(super) fn get(&self, id: &RunId) -> Option<Arc<Run>> {
        self.map().get(id).cloned()
    }

    /// Ends a run.
    pub(super) fn cancel(&self, id: &RunId) {
        if let Some(run) = self.map().remove(id) {
            run.answer.send_modify(|a| a.ended = true);
        }
    }

    /// Ends all runs; their number.
    pub(super) fn cancel_all(&self) -> usize {
        let runs = std::mem::take(&mut *self.map());
        let live = runs.values().filter(|r| !r.answer.borrow().ended).count();
        runs.values().for_each(|r| r.answer.send_modify(|a| a.ended = true));
        live
    }

    /// Number of runs that have not ended.
    pub(super) fn live(&self) -> usize {
        self.map().values().filter(|r| !r.answer.borrow().ended).count()
    }
}
