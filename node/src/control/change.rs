use {
    super::{held_cell::HeldCell, orders::OrderResult},
    crate::{app::App, ports::StoreError},
    lentil_core::{
        clock::Time,
        ids::EngineId,
        manifest::{EngineSpec, Role},
        mesh::Update,
        order::Order,
    },
    std::{sync::Arc, time::Duration},
};

/// Time within which every instance has heard of a pause.
const SPREAD: Duration = Duration::from_secs(1);
/// Time after which a change is given up that finds its engine never empty.
const PATIENCE: Duration = Duration::from_secs(60);
/// Time between two looks at an engine that carries out an order.
const LOOK: Duration = Duration::from_millis(700);

/// How far a change has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The engine gets no new work; its running answers end.
    Emptying,
    /// The order was given.
    Ordered,
}

/// One engine on its way to another role or version, without cutting an answer.
pub(super) struct Change {
    pub engine: EngineId,
    order: Order,
    spec: EngineSpec,
    step: Step,
    since: Time,
    /// Number of the pause that the instances were told of.
    told: u64,
    looked: Time,
}

/// Tells every instance that an engine is paused, or in service again, perhaps in a new role.
pub(super) fn announce_pause(
    app: &App,
    engine: &EngineId,
    (number, on): (u64, bool),
    role: Option<Role>,
) {
    let now = app.now();
    let mut fleet = app.fleet();
    fleet.record_paused_role(engine, (number, on), role, now);
    fleet.refresh(now);
    drop(fleet);
    app.view().queue_update(Update::Paused { engine: engine.clone(), number, on, role });
}

impl Change {
    /// Begins by telling every instance to send the engine no new work.
    pub(super) fn begin(app: &App, engine: EngineId, spec: EngineSpec, order: Order) -> Self {
        log::info!("control: engine {engine} is emptied, to {order}");
        let told = app.next_pause_number();
        let now = app.now();
        let change =
            Self { engine, order, spec, step: Step::Emptying, since: now, told, looked: now };
        change.tell(app, true, None);
        change
    }

    /// The role that the engine is to take, if the change is one of role.
    pub(super) fn goal(&self) -> Option<Role> {
        match self.order {
            Order::Role(role) => Some(role),
            _ => None,
        }
    }

    fn tell(&self, app: &App, on: bool, role: Option<Role>) {
        announce_pause(app, &self.engine, (self.told, on), role);
    }

    /// Gives the change up without authority: an engine that was not told serves on in its role.
    /// What became of an order that went out is for the next holder to find.
    pub(super) fn give_up(&self, app: &App) {
        if self.step == Step::Emptying {
            self.tell(app, false, None);
        }
    }

    /// Takes the change one step on; false when it has ended.
    pub(super) async fn step(
        &mut self,
        app: &Arc<App>,
        held: &mut HeldCell,
    ) -> Result<bool, StoreError> {
        let now = app.now();
        if now - self.since > PATIENCE {
            log::warn!("control: engine {} did not change in time", self.engine);
            self.tell(app, false, None);
            return Ok(false);
        }
        let going_on = match self.step {
            Step::Emptying if self.empty(app).await => self.order(app, held).await?,
            Step::Emptying => true,
            Step::Ordered if now - self.looked < LOOK => true,
            Step::Ordered => {
                self.looked = now;
                !self.carried_out(app).await
            }
        };
        if !going_on {
            // Only registered engines' roles are not followed by reports.
            let done = self.step == Step::Ordered && app.settings.hosted.is_some();
            self.tell(app, false, self.goal().filter(|_| done));
        }
        Ok(going_on)
    }

    /// Whether a report taken after all instances had heard of the pause shows no work.
    async fn empty(&self, app: &App) -> bool {
        let asked = app.now();
        if app.settings.hosted.is_some() {
            // The platform's engines let running work end before they change.
            return asked >= self.since + SPREAD;
        }
        let Ok(report) = app.ports.engines.load(self.spec.address).await else { return false };
        let taken = asked.as_micros().saturating_sub(report.age.0 * 1_000);
        Time::from_micros(taken) >= self.since + SPREAD && report.load.idle()
    }

    async fn order(&mut self, app: &App, held: &mut HeldCell) -> Result<bool, StoreError> {
        let order = self.order.clone();
        let given = held.issue(app, &self.engine, &self.spec, order).await?;
        if given == OrderResult::Refused {
            return Ok(false);
        }
        self.step = Step::Ordered;
        self.looked = app.now();
        Ok(true)
    }

    async fn carried_out(&self, app: &App) -> bool {
        let report = app.ports.engines.report(self.spec.address).await;
        let done = report.is_ok_and(|r| r.fulfils(&self.order));
        if done && matches!(self.order, Order::Role(_)) {
            app.metrics.role_changes.inc();
        }
        done
    }
}
