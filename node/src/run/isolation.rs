use {
    super::{engine_choice::EngineChoice, task::Task},
    crate::ports::Target,
    lentil_core::{
        clock::Time,
        error::{ErrorKind, Fault},
        fleet::EngineView,
        ids::Tokens,
        manifest::Role,
        poison::isolation_part,
    },
    std::time::Duration,
};

/// Time for which a suspect waits if no engine of this instance's own part accepts work.
const OWN_PART_WAIT: Duration = Duration::from_secs(1);

impl Task {
    /// Chooses an engine that runs no other suspect, so that a second crash identifies the request
    /// that caused it.
    ///
    /// Each instance sends its suspects to its own part of the engines, by its rank among the
    /// instances of the region, so that suspects of two instances do not share an engine either.
    /// If its part is empty, or has accepted no work for a while, it uses all engines.
    pub(super) fn choose_isolated(&mut self, now: Time) -> Result<EngineChoice, Fault> {
        self.release_isolated();
        self.closed_since.get_or_insert(now);
        let app = self.app.clone();
        let (rank, count) = {
            let view = app.member_view();
            let region = &app.settings.region;
            let others = view.live().filter(|m| m.info.region == *region).count();
            (view.rank_among_live("suspects", region), others + 1)
        };
        let crashed = app.quarantine().recently_crashed(now);
        let mut fleet = app.fleet();
        fleet.refresh(now);
        let routing = &self.request.routing;
        let serves = |e: &EngineView| {
            let loaded = routing.adapter.as_ref().is_none_or(|a| e.adapters.contains(a));
            let suitable = e.model == routing.model && routing.accepts_software(e);
            suitable && e.role == Role::Decode && loaded
        };
        let serving: Vec<&EngineView> = fleet.engines.iter().filter(|e| serves(e)).collect();
        let sound = serving.iter().map(|e| &e.id).filter(|id| !crashed.contains(*id));
        let part = isolation_part(sound, rank, count);
        if serving.iter().any(|e| part.contains(&e.id) && e.accepts_work(now)) {
            self.closed_since = None;
        }
        let any_part =
            part.is_empty() || self.closed_since.is_some_and(|since| now - since >= OWN_PART_WAIT);
        let found = serving
            .iter()
            .filter(|e| e.accepts_work(now) && (any_part || part.contains(&e.id)))
            .find(|e| !fleet.suspects.contains(&e.id) && e.limit.wait(now).is_zero())
            .map(|e| e.id.clone());
        let no_engine =
            || Fault::new(ErrorKind::NoTarget, "no available engine is free of other suspects");
        let id = found.ok_or_else(no_engine)?;
        let prompt = routing.prompt + Tokens(self.sent_tokens.len() as u64);
        let engine = fleet.engine(&id).ok_or_else(no_engine)?;
        engine.breaker.record_send(now);
        engine.load.record_send(prompt, true, now);
        let decode = Target::from_view(engine);
        fleet.suspects.insert(id.clone());
        self.isolated = Some(id);
        self.closed_since = None;
        Ok(EngineChoice {
            decode,
            prefill: None,
            prefill_tokens: prompt,
            assumed: false,
            fetch_from: None,
        })
    }

    /// Frees the engine reserved for this suspect, if any, for other suspects.
    pub(super) fn release_isolated(&mut self) {
        if let Some(id) = self.isolated.take() {
            self.app.fleet().suspects.remove(&id);
        }
    }
}
