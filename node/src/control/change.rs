use {
    super::{held_cell::HeldCell, orders::OrderResult},
    crate::{app::App, ports::StoreError},
    lentil_core::{
        clock::Time,
        ids::{EngineId, Incarnation},
        manifest::{EngineSpec, Role},
        mesh::Update,
        order::Order,
    },
    std::{sync::Arc, time::Duration},
};

/// Time within which the announcement of a pause reaches every instance.
const PAUSE_PROPAGATION: Duration = Duration::from_secs(1);
/// Time after which an unfinished change is given up, for example because the engine never drains.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two reads of the report of an engine that carries out an order.
const REPORT_READ_INTERVAL: Duration = Duration::from_millis(700);

/// Progress of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The engine gets no new work and finishes its running answers.
    Draining,
    /// The order was accepted, or may yet take effect.
    Ordered,
}

/// A change of one engine to another role or model version.
///
/// The engine is drained before it gets the order, so that no running answer is cut off.
pub(super) struct Change {
    pub engine: EngineId,
    order: Order,
    spec: EngineSpec,
    /// Incarnation of the engine when the change began; zero if it was not known.
    boot: Incarnation,
    step: Step,
    started: Time,
    /// Number under which the pause was announced.
    pause_number: u64,
    /// When the engine's report was last read, or the change began or was ordered.
    last_read: Time,
}

/// Announces to every instance that an engine is paused or, with `paused` false, back in service,
/// in a new role if `role` is given.
pub(super) fn announce_pause(
    app: &App,
    engine: &EngineId,
    (number, paused): (u64, bool),
    role: Option<Role>,
) {
    let now = app.now();
    let mut fleet = app.fleet();
    fleet.record_paused_role(engine, (number, paused), role, now);
    fleet.refresh(now);
    drop(fleet);
    app.member_view().queue_update(Update::Paused { engine: engine.clone(), number, paused, role });
}

impl Change {
    /// Starts a change: announces a pause, so that no instance sends the engine new work.
    pub(super) fn begin(app: &App, engine: EngineId, spec: EngineSpec, order: Order) -> Self {
        log::info!("control: draining engine {engine} for order: {order}");
        let pause_number = app.next_pause_number();
        let now = app.now();
        let boot = app.fleet().engine(&engine).map_or(Incarnation(0), |e| e.boot);
        let change = Self {
            engine,
            order,
            spec,
            boot,
            step: Step::Draining,
            started: now,
            pause_number,
            last_read: now,
        };
        change.announce(app, true, None);
        change
    }

    /// Returns the engine's new role, or `None` if the change is not one of role.
    pub(super) fn target_role(&self) -> Option<Role> {
        match self.order {
            Order::Role(role) => Some(role),
            _ => None,
        }
    }

    fn announce(&self, app: &App, paused: bool, role: Option<Role>) {
        announce_pause(app, &self.engine, (self.pause_number, paused), role);
    }

    /// Abandons the change after this instance has lost the cell.
    ///
    /// An engine that was sent no order keeps serving in its role. If an order was sent, the next
    /// holder determines its result.
    pub(super) fn abandon(&self, app: &App) {
        if self.step == Step::Draining {
            self.announce(app, false, None);
        }
    }

    /// Advances the change if possible; returns `false` once it has ended.
    pub(super) async fn advance(
        &mut self,
        app: &Arc<App>,
        held: &mut HeldCell,
    ) -> Result<bool, StoreError> {
        let now = app.now();
        if self.is_void(app) {
            log::info!("control: engine {} has left, its change ends", self.engine);
            self.announce(app, false, None);
            return Ok(false);
        }
        if now - self.started > CHANGE_TIMEOUT {
            log::warn!("control: engine {} did not complete its change in time", self.engine);
            self.announce(app, false, None);
            return Ok(false);
        }
        let unfinished = match self.step {
            Step::Draining if self.drained(app).await => self.send_order(app, held).await?,
            Step::Draining => true,
            Step::Ordered if now - self.last_read < REPORT_READ_INTERVAL => true,
            Step::Ordered => {
                self.last_read = now;
                !self.completed(app).await
            }
        };
        if !unfinished {
            // The roles of registered engines are not polled, so the new role is announced.
            let done = self.step == Step::Ordered && app.settings.hosted.is_some();
            self.announce(app, false, self.target_role().filter(|_| done));
        }
        Ok(unfinished)
    }

    /// Returns whether a registered engine is leaving or gone, or its process was replaced: it will
    /// not serve in the new role.
    fn is_void(&self, app: &App) -> bool {
        let mut fleet = app.fleet();
        let engine = fleet.engine(&self.engine);
        let restarted = |boot: Incarnation| boot != self.boot && boot.0 != 0 && self.boot.0 != 0;
        app.settings.hosted.is_some() && engine.is_none_or(|e| e.leaving || restarted(e.boot))
    }

    /// Returns whether the engine may be sent its order: a load report measured after the pause
    /// had reached all instances shows no work.
    async fn drained(&self, app: &App) -> bool {
        let requested = app.now();
        if app.settings.hosted.is_some() {
            // The platform's engines finish running work themselves before they change, so only the
            // propagation of the pause is awaited.
            return requested >= self.started + PAUSE_PROPAGATION;
        }
        let Ok(report) = app.ports.engines.load(self.spec.address).await else { return false };
        let measured = requested.as_micros().saturating_sub(report.age.0 * 1_000);
        Time::from_micros(measured) >= self.started + PAUSE_PROPAGATION && report.load.idle()
    }

    /// Sends the order; returns `false` if it was refused, which ends the change.
    async fn send_order(&mut self, app: &App, held: &mut HeldCell) -> Result<bool, StoreError> {
        let order = self.order.clone();
        let result = held.issue(app, &self.engine, &self.spec, order).await?;
        if result == OrderResult::Refused {
            return Ok(false);
        }
        self.step = Step::Ordered;
        self.last_read = app.now();
        Ok(true)
    }

    /// Returns whether the engine has carried out the order, and counts a completed role change.
    async fn completed(&self, app: &App) -> bool {
        let target = app.addressee(&self.engine, self.spec.address);
        let check = || app.check_control(&target);
        let report = app.ports.engines.report(&target, &check).await;
        let done = report.is_ok_and(|r| r.fulfils(&self.order));
        if done && matches!(self.order, Order::Role(_)) {
            app.metrics.role_changes.inc();
        }
        done
    }
}
