use {
    super::task::{EngineChoice, Target, Task},
    lentil_core::{
        clock::Time,
        error::{ErrorKind, Fault},
        fleet::EngineView,
        ids::{EngineId, Tokens},
        manifest::Role,
    },
};

impl Task {
    /// Chooses an engine that runs no other suspect, so that a second crash identifies the request
    /// that caused it.
    ///
    /// Each instance sends its suspects to its own part of the engines, by its rank among the
    /// instances of the region, so that suspects of two instances do not share an engine either.
    pub(super) fn choose_isolated(&mut self, now: Time) -> Result<EngineChoice, Fault> {
        self.release_isolated();
        let app = self.app.clone();
        let (rank, count) = {
            let view = app.member_view();
            let region = &app.settings.region;
            let others = view.live().filter(|m| m.info.region == *region).count();
            (view.rank_for("suspects", region), others + 1)
        };
        let mut fleet = app.fleet();
        fleet.refresh(now);
        let routing = &self.request.routing;
        let suitable = |e: &EngineView| {
            let loaded = routing.adapter.as_ref().is_none_or(|a| e.adapters.contains(a));
            e.model == routing.model && e.role == Role::Decode && loaded && e.accepts_work(now)
        };
        let available: Vec<EngineId> =
            fleet.engines.iter().filter(|e| suitable(e)).map(|e| e.id.clone()).collect();
        let own_part: Vec<&EngineId> = available.iter().skip(rank).step_by(count).collect();
        let candidates = if own_part.is_empty() { available.iter().collect() } else { own_part };
        let found = candidates.into_iter().find(|id| !fleet.suspects.contains(*id)).cloned();
        let no_engine =
            || Fault::new(ErrorKind::NoTarget, "no available engine is free of other suspects");
        let id = found.ok_or_else(no_engine)?;
        let prompt = routing.prompt + Tokens(self.sent_tokens.len() as u64);
        let engine = fleet.engine(&id).ok_or_else(no_engine)?;
        engine.breaker.record_send();
        engine.load.record_send(prompt, true, now);
        let decode = Target::from_view(engine);
        fleet.suspects.insert(id.clone());
        self.isolated = Some(id);
        Ok(EngineChoice { decode, prefill: None, prefill_tokens: prompt, fetch_from: None })
    }

    /// Frees the engine reserved for this suspect, if any, for other suspects.
    pub(super) fn release_isolated(&mut self) {
        if let Some(id) = self.isolated.take() {
            self.app.fleet().suspects.remove(&id);
        }
    }
}
