use {
    super::{
        cell::Controller,
        change::Change,
        specs::{cell_of, registered},
    },
    crate::app::{App, Fleet},
    lentil_core::{
        clock::Time,
        fleet::EngineView,
        ids::{CellId, EngineId},
        manifest::Role,
        mesh::News,
        order::Order,
        plan::{Balance, Split, Use},
    },
};

/// Seconds of prompts from which an engine counts as busy: shorter queues come and go between
/// two requests.
const QUEUE: f64 = 0.05;

impl Controller {
    /// Decides on one role change among the registered engines of this cell.
    pub(super) fn balance(&mut self, app: &App) {
        let now = app.now();
        let (engines, paused) = of_cell(&app.fleet(), &self.cell);
        self.end_pauses(app, &paused, now);
        let changing = |e: &EngineView| self.changes.iter().any(|c| c.engine == e.id);
        let serving: Vec<&EngineView> =
            engines.iter().filter(|e| !e.leaving && !changing(e)).collect();
        let split = self.intended(&serving);
        let used = used(&serving, now);
        let balance = self.balance.get_or_insert_with(|| Balance::new(now));
        let Some(role) = balance.decide(used, split, self.changes.len(), now) else { return };
        let mean = balance.mean();
        let free = |e: &&&EngineView| e.role != role && !self.unsettled.contains(&e.id);
        let Some(engine) = serving.iter().filter(free).min_by_key(|e| load(e, now)) else { return };
        log::info!(
            "control: cell={} engine={} to={role} prefilling={} decoding={} prefill_use={:.2} decode_use={:.2}",
            self.cell,
            engine.id,
            split.prefill,
            split.decode,
            mean.prefill,
            mean.decode,
        );
        let change = Change::begin(app, engine.id.clone(), registered(engine), Order::Role(role));
        self.changes.push(change);
    }

    /// Engines by the role that they have or change to.
    fn intended(&self, serving: &[&EngineView]) -> Split {
        let goals = self.changes.iter().filter_map(Change::goal);
        let roles = serving.iter().map(|e| e.role).chain(goals);
        let mut split = Split { prefill: 0, decode: 0 };
        for role in roles {
            match role {
                Role::Prefill => split.prefill += 1,
                Role::Decode => split.decode += 1,
            }
        }
        split
    }

    /// Ends pauses that an earlier holder left behind.
    fn end_pauses(&self, app: &App, paused: &[(EngineId, u64)], now: Time) {
        for (engine, number) in paused {
            if self.changes.iter().any(|c| c.engine == *engine) {
                continue;
            }
            log::info!(
                "control: cell={} engine={engine} pause of an earlier holder ends",
                self.cell
            );
            app.fleet().pause(engine, *number, false, now);
            let (engine, number) = (engine.clone(), *number);
            app.view().tell(News::Paused { engine, number, on: false, role: None });
        }
    }
}

/// Engines of a cell, and the numbers of the pauses of those that are paused.
fn of_cell(fleet: &Fleet, cell: &CellId) -> (Vec<EngineView>, Vec<(EngineId, u64)>) {
    let engines: Vec<EngineView> =
        fleet.engines.iter().filter(|e| cell_of(e) == *cell).cloned().collect();
    let paused =
        engines.iter().filter_map(|e| fleet.paused(&e.id).map(|n| (e.id.clone(), n))).collect();
    (engines, paused)
}

/// How far the engines are used now.
fn used(engines: &[&EngineView], now: Time) -> Use {
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
    Use {
        prefill: prefill / f64::from(prefilling.max(1)),
        decode: f64::from(running) / f64::from(slots.max(1)),
    }
}

fn load(engine: &EngineView, now: Time) -> (u64, u32) {
    let load = engine.load.expected(engine.prefill_rate(), 1, now);
    (load.queued.0, load.running)
}
