use {
    crate::app::App,
    lentil_core::{
        fleet::InFlightByInstance,
        ids::{EngineId, Rank, Tokens},
    },
    std::sync::Arc,
};

/// Work in progress on a target, counted until it is dropped.
pub(super) struct InFlightGuard {
    app: Arc<App>,
    id: EngineId,
    tokens: Tokens,
    rank: Rank,
    prefilled: bool,
}

/// Changes what is counted on a target, if it is still there and counted.
fn shared(app: &App, id: &EngineId, change: impl FnOnce(&mut InFlightByInstance)) {
    if let Some(shared) = app.fleet().engine(id).and_then(|e| e.load.in_flight.as_mut()) {
        change(shared);
    }
}

impl InFlightGuard {
    /// Counts a request of `rank` with `tokens` to prefill.
    pub(super) fn new(app: &Arc<App>, id: &EngineId, tokens: Tokens, rank: Rank) -> Self {
        shared(app, id, |shared| shared.started(tokens, rank));
        Self { app: app.clone(), id: id.clone(), tokens, rank, prefilled: false }
    }

    /// Notes that the prompt has been prefilled; true the first time.
    pub(super) fn prefilled(&mut self) -> bool {
        if std::mem::replace(&mut self.prefilled, true) {
            return false;
        }
        let tokens = std::mem::take(&mut self.tokens);
        shared(&self.app, &self.id, |shared| {
            shared.finished(tokens, self.rank);
            shared.started(Tokens(0), self.rank);
        });
        true
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        shared(&self.app, &self.id, |shared| shared.finished(self.tokens, self.rank));
    }
}
