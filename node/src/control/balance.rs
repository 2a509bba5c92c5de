use {
    super::{
        change::{announce_pause, Change},
        controller::Controller,
        engine_specs::{cell_of, registered_spec},
    },
    crate::app::{App, Fleet},
    lentil_core::{
        clock::Time,
        fleet::EngineView,
        ids::{CellId, EngineId},
        manifest::Role,
        order::Order,
        plan::{RoleBalancer, Split, Utilization},
    },
};

/// Seconds of prompts from which an engine counts as busy: shorter queues come and go between
/// two requests.
const QUEUE: f64 = 0.05;

impl Controller {
    /// Decides on one role change among the registered engines of this cell.
    pub(super) fn balance(&mut self, app: &App) {
        let now = app.now();
        self.end_pauses(app);
        let picked = self.pick(&app.fleet(), now);
        let Some((engine, role)) = picked else { return };
        let spec = registered_spec(&engine);
        self.changes.push(Change::begin(app, engine.id, spec, Order::Role(role)));
    }

    /// The engine that should change to a role now, if any.
    fn pick(&mut self, fleet: &Fleet, now: Time) -> Option<(EngineView, Role)> {
        let serving =
            |e: &&EngineView| !e.leaving && !self.changes.iter().any(|c| c.engine == e.id);
        let serving: Vec<&EngineView> = of_cell(fleet, &self.cell).filter(serving).collect();
        let goals = self.changes.iter().filter_map(Change::goal);
        let split: Split = serving.iter().map(|e| e.role).chain(goals).collect();
        let used = used(&serving, now);
        let balance = self.balance.get_or_insert_with(|| RoleBalancer::new(now));
        let role = balance.decide(used, split, self.changes.len(), now)?;
        let mean = balance.mean();
        let free = |e: &&&EngineView| e.role != role && !self.unsettled.contains(&e.id);
        let engine = serving.iter().filter(free).min_by_key(|e| load(e, now))?;
        log::info!(
            "control: cell={} engine={} to={role} prefilling={} decoding={} prefill_use={:.2} decode_use={:.2}",
            self.cell,
            engine.id,
            split.prefill,
            split.decode,
            mean.prefill,
            mean.decode,
        );
        Some(((*engine).clone(), role))
    }

    /// Ends pauses that an earlier holder left behind.
    fn end_pauses(&self, app: &App) {
        let mine = |id: &EngineId| self.changes.iter().any(|c| c.engine == *id);
        let left: Vec<(EngineId, u64)> = {
            let fleet = app.fleet();
            let paused = of_cell(&fleet, &self.cell).filter(|e| !mine(&e.id));
            paused.filter_map(|e| Some((e.id.clone(), fleet.pause_number(&e.id)?))).collect()
        };
        for (engine, number) in left {
            log::info!(
                "control: cell={} engine={engine} pause of an earlier holder ends",
                self.cell
            );
            announce_pause(app, &engine, (number, false), None);
        }
    }
}

/// Engines of a cell.
fn of_cell<'a>(fleet: &'a Fleet, cell: &'a CellId) -> impl Iterator<Item = &'a EngineView> {
    fleet.engines.iter().filter(|e| cell_of(e) == *cell)
}

/// How far the engines are used now.
fn used(engines: &[&EngineView], now: Time) -> Utilization {
    let (mut prefill, mut prefilling) = (0.0, 0);
    let (mut running, mut slots) = (0, 0);
    for engine in engines {
        let load = engine.load.expected(engine.prefill_rate(), 1, now);
        match engine.role {
            Role::Prefill => {
                let seconds = load.queued.0 as f64 / engine.prefill_rate();
                prefill += (seconds / QUEUE).min(1.0);
                prefilling += 1;
            }
            Role::Decode => {
                running += load.running;
                slots += engine.rates.slots;
            }
        }
    }
    Utilization {
        prefill: prefill / f64::from(prefilling.max(1)),
        decode: f64::from(running) / f64::from(slots.max(1)),
    }
}

fn load(engine: &EngineView, now: Time) -> (u64, u32) {
    let load = engine.load.expected(engine.prefill_rate(), 1, now);
    (load.queued.0, load.running)
}
