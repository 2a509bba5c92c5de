use {
    super::task::{Chosen, Target, Task},
    lentil_core::{
        clock::Time,
        error::{ErrorKind, Fault},
        fleet::EngineView,
        ids::{EngineId, Tokens},
        manifest::Role,
    },
};

impl Task {
    /// Chooses an engine that runs no other suspect, so that a second crash tells which it was.
    ///
    /// Each instance takes its suspects to its own part of the engines, by its rank among the
    /// instances of the region, so that those of two instances do not meet either.
    pub(super) fn choose_isolated(&mut self, now: Time) -> Result<Chosen, Fault> {
        self.release_isolated();
        let app = self.app.clone();
        let (rank, count) = {
            let view = app.view();
            let region = &app.settings.region;
            let near = view.live().filter(|m| m.info.region == *region).count();
            (view.rank_for("suspects", region), near + 1)
        };
        let mut fleet = app.fleet();
        fleet.refresh(now);
        let work = &self.request.work;
        let fits = |e: &EngineView| {
            let loaded = work.adapter.as_ref().is_none_or(|a| e.adapters.contains(a));
            e.model == work.model && e.role == Role::Decode && loaded && e.accepts_work(now)
        };
        let open: Vec<EngineId> =
            fleet.engines.iter().filter(|e| fits(e)).map(|e| e.id.clone()).collect();
        let own: Vec<&EngineId> = open.iter().skip(rank).step_by(count).collect();
        let part = if own.is_empty() { open.iter().collect() } else { own };
        let found = part.into_iter().find(|id| !fleet.suspects.contains(*id)).cloned();
        let waits = || Fault::new(ErrorKind::NoTarget, "no engine is free of other suspects");
        let id = found.ok_or_else(waits)?;
        let prompt = work.prompt + Tokens(self.done.len() as u64);
        let engine = fleet.engine(&id).ok_or_else(waits)?;
        engine.breaker.sent();
        engine.load.sent(prompt, true, now);
        let decode = Target::of(engine);
        fleet.suspects.insert(id.clone());
        self.isolated = Some(id);
        Ok(Chosen { decode, prefill: None, todo: prompt, fetch: None })
    }

    /// Lets the engine that this suspect ran on, if any, run another.
    pub(super) fn release_isolated(&mut self) {
        if let Some(id) = self.isolated.take() {
            self.app.fleet().suspects.remove(&id);
        }
    }
}
