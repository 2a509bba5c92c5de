use {
    crate::app::App,
    lentil_core::{
        fleet::InFlightByInstance,
        ids::{EngineId, ModelId, Rank, Tokens},
    },
    std::sync::Arc,
};

/// Counts a request as in flight on a target until it is dropped.
pub(super) struct InFlightGuard {
    app: Arc<App>,
    service: ModelId,
    id: EngineId,
    tokens: Tokens,
    rank: Rank,
    prefilled: bool,
}

/// Changes the in-flight counts of a target, if it is still known and such counts are kept for it.
fn update_in_flight(app: &App, id: &EngineId, change: impl FnOnce(&mut InFlightByInstance)) {
    if let Some(in_flight) = app.fleet().engine(id).and_then(|e| e.load.in_flight.as_mut()) {
        change(in_flight);
    }
}

impl InFlightGuard {
    /// Counts a request of `rank` to a target of `service`, with `tokens` left to prefill.
    pub(super) fn new(
        app: &Arc<App>,
        service: &ModelId,
        id: &EngineId,
        (tokens, rank): (Tokens, Rank),
    ) -> Self {
        update_in_flight(app, id, |in_flight| in_flight.record_start(tokens, rank));
        app.reach().of(service).record_send(app.now());
        let (service, id) = (service.clone(), id.clone());
        Self { app: app.clone(), service, id, tokens, rank, prefilled: false }
    }

    /// Records that the prompt has been prefilled; returns `true` only the first time.
    pub(super) fn mark_prefilled(&mut self) -> bool {
        if std::mem::replace(&mut self.prefilled, true) {
            return false;
        }
        let tokens = std::mem::take(&mut self.tokens);
        update_in_flight(&self.app, &self.id, |in_flight| {
            in_flight.record_finish(tokens, self.rank);
            in_flight.record_start(Tokens(0), self.rank);
        });
        true
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.app.reach().of(&self.service).record_end();
        update_in_flight(&self.app, &self.id, |in_flight| {
            in_flight.record_finish(self.tokens, self.rank);
        });
    }
}
