use {
    super::{
        change::{announce_pause, Change},
        controller::Controller,
        engine_specs::{cell_of, registered_spec},
    },
    crate::app::{App, Fleet},
    lentil_core::{
        clock::Time,
        fleet::{EngineView, MAX_MIXED_PREFILL_SHARE},
        ids::{CellId, EngineId},
        manifest::Role,
        order::Order,
        plan::{PerRole, RoleBalancer, Split, Utilization, MIN_DECODING},
    },
};

/// Queued prefill work, in seconds, from which an engine counts as fully used: shorter queues
/// build up and drain between two requests.
const FULL_QUEUE_S: f64 = 0.05;

/// Time for which a prompt is in flight at an idle engine, whatever its length: prefill work in flight
/// over this time is the share of the time for which the engine works.
const PROMPT_LATENCY_S: f64 = 0.1;

impl Controller {
    /// Starts at most one role change among the registered engines of this cell.
    pub(super) fn balance_roles(&mut self, app: &App) {
        let now = app.now();
        self.end_stale_pauses(app);
        let chosen = self.choose_role_change(&app.fleet(), now);
        let Some((engine, role)) = chosen else { return };
        let spec = registered_spec(&engine);
        self.changes.push(Change::begin(app, engine.id, spec, Order::Role(role)));
    }

    /// Returns the engine that should change its role now and the new role, if any.
    fn choose_role_change(&mut self, fleet: &Fleet, now: Time) -> Option<(EngineView, Role)> {
        let serving =
            |e: &&EngineView| !e.leaving && !self.changes.iter().any(|c| c.engine == e.id);
        let serving: Vec<&EngineView> = cell_engines(fleet, &self.cell).filter(serving).collect();
        let target_roles = self.changes.iter().filter_map(Change::target_role);
        let split: Split = serving.iter().map(|e| e.role).chain(target_roles).collect();
        let utilization = utilization(&serving, now);
        let balancer = self.balancer.get_or_insert_with(|| RoleBalancer::new(now));
        let balanced = balancer.decide(utilization, split, self.changes.len(), now);
        let mean = balancer.mean();
        let role = match balanced {
            Some(role) => role,
            None => {
                let short = self.role_short_for_scaling(&serving)?;
                let balancer = self.balancer.as_mut().filter(|b| b.allows(short, now))?;
                balancer.record_change(short, now);
                short
            }
        };
        let eligible = |e: &&&EngineView| {
            let last = role == Role::Prefill && is_last_decoding(&serving, e);
            e.role != role && !last && !e.is_held(now) && !self.unsettled.contains(&e.id)
        };
        // An engine that fails has little load, but may not be there to take the order.
        let key = |e: &&&EngineView| (!e.breaker.allows(now), expected_load(e, now));
        // A service that hardly decodes needs an engine whichever it is.
        let urgent = role == Role::Decode && split.decode < MIN_DECODING;
        let stays = |e: &&&EngineView| urgent || self.may_change(e, now);
        let key = |e: &&&EngineView| (self.pending_removal(e), key(e));
        let engine = serving.iter().filter(eligible).filter(stays).min_by_key(key)?;
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

    /// Ends pauses that an earlier lease holder announced and did not end.
    fn end_stale_pauses(&self, app: &App) {
        let changing = |id: &EngineId| self.changes.iter().any(|c| c.engine == *id);
        let stale: Vec<(EngineId, u64)> = {
            let fleet = app.fleet();
            let others = cell_engines(&fleet, &self.cell).filter(|e| !changing(&e.id));
            others.filter_map(|e| Some((e.id.clone(), fleet.pause_number(&e.id)?))).collect()
        };
        for (engine, number) in stale {
            log::info!(
                "control: cell={} engine={engine} ending a pause left by an earlier holder",
                self.cell
            );
            announce_pause(app, &engine, (number, false), None);
        }
    }
}

/// Returns whether no other engine with the same software decodes: streams that it began could not
/// go on elsewhere.
fn is_last_decoding(serving: &[&EngineView], engine: &EngineView) -> bool {
    let continues = |e: &&&EngineView| {
        e.role == Role::Decode && e.software == engine.software && e.id != engine.id
    };
    !serving.iter().any(|e| continues(&e))
}

/// Returns the registered engines of a cell.
pub(super) fn cell_engines<'a>(
    fleet: &'a Fleet,
    cell: &'a CellId,
) -> impl Iterator<Item = &'a EngineView> {
    fleet.engines.iter().filter(|e| cell_of(e) == *cell)
}

/// Returns how many engines of each role the expected work keeps busy at `now`.
pub(super) fn busy_targets(engines: &[&EngineView], now: Time) -> PerRole<f64> {
    let mut busy = PerRole { prefill: 0.0, decode: 0.0 };
    for engine in engines {
        let load = engine.load.expected(engine.prefill_rate(), 1, now);
        let prefill = (load.queued.0 as f64 / engine.prefill_rate() / PROMPT_LATENCY_S).min(1.0);
        match engine.role {
            Role::Prefill => busy.prefill += prefill,
            Role::Decode => {
                let slots = f64::from(load.running) / f64::from(engine.rates.slots.max(1));
                busy.decode += slots.max(prefill / MAX_MIXED_PREFILL_SHARE).min(1.0);
            }
        }
    }
    busy
}

/// Returns the expected utilization of the engines of each role at `now`.
fn utilization(engines: &[&EngineView], now: Time) -> Utilization {
    let (mut prefill, mut prefilling) = (0.0, 0);
    let (mut running, mut slots) = (0, 0);
    for engine in engines {
        let load = engine.load.expected(engine.prefill_rate(), 1, now);
        // An engine whose rate limit is used up, or that wants no requests, can take no more work,
        // however idle it is.
        let send_wait = engine.send_wait(now).as_secs_f64();
        match engine.role {
            Role::Prefill => {
                let seconds = load.queued.0 as f64 / engine.prefill_rate() + send_wait;
                prefill += (seconds / FULL_QUEUE_S).min(1.0);
                prefilling += 1;
            }
            Role::Decode => {
                running += if send_wait > 0.0 { engine.rates.slots } else { load.running };
                slots += engine.rates.slots;
            }
        }
    }
    Utilization {
        prefill: prefill / f64::from(prefilling.max(1)),
        decode: f64::from(running) / f64::from(slots.max(1)),
    }
}

/// Returns the queued prompt tokens and the running requests expected at `now`.
fn expected_load(engine: &EngineView, now: Time) -> (u64, u32) {
    let load = engine.load.expected(engine.prefill_rate(), 1, now);
    (load.queued.0, load.running)
}
