use {
    super::{hold::Hold, orders::Given},
    crate::{app::App, ports::StoreError},
    lentil_core::{
        clock::Time,
        ids::EngineId,
        manifest::{EngineSpec, Role},
        mesh::News,
        order::Order,
    },
    std::{sync::Arc, time::Duration},
};

/// Time within which every instance has heard of a pause.
const SPREAD: Duration = Duration::from_secs(1);
/// Time after which a change is given up that finds its engine never empty.
const PATIENCE: Duration = Duration::from_secs(60);

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
    told: u64,
}

impl Change {
    /// Begins by telling every instance to send the engine no new work.
    pub(super) fn begin(app: &App, engine: EngineId, spec: EngineSpec, order: Order) -> Self {
        log::info!("control: engine {engine} is emptied, to {order}");
        let told = app.pause_number();
        let change = Self { engine, order, spec, step: Step::Emptying, since: app.now(), told };
        change.tell(app, true);
        change
    }

    /// The role that the engine is to take, if the change is one of role.
    pub(super) fn goal(&self) -> Option<Role> {
        match self.order {
            Order::Role(role) => Some(role),
            _ => None,
        }
    }

    fn tell(&self, app: &App, on: bool) {
        let (engine, number) = (self.engine.clone(), self.told);
        let now = app.now();
        let mut fleet = app.fleet();
        fleet.pause(&engine, number, on, now);
        fleet.refresh(now);
        drop(fleet);
        app.view().tell(News::Paused { engine, number, on });
    }

    /// Takes the change one step on; false when it has ended.
    pub(super) async fn step(
        &mut self,
        app: &Arc<App>,
        hold: &mut Hold,
    ) -> Result<bool, StoreError> {
        let now = app.now();
        if now - self.since > PATIENCE {
            log::warn!("control: engine {} was not empty in time", self.engine);
            self.tell(app, false);
            return Ok(false);
        }
        let going_on = match self.step {
            Step::Emptying if self.empty(app).await => self.order(app, hold).await?,
            Step::Emptying => true,
            Step::Ordered => !self.carried_out(app).await,
        };
        if !going_on {
            self.tell(app, false);
        }
        Ok(going_on)
    }

    /// Whether a report taken after all instances had heard of the pause shows no work.
    async fn empty(&self, app: &App) -> bool {
        let asked = app.now();
        let Ok(report) = app.ports.engines.load(self.spec.address).await else { return false };
        let taken = asked.as_micros().saturating_sub(report.age.0 * 1_000);
        Time::from_micros(taken) >= self.since + SPREAD && report.load.idle()
    }

    async fn order(&mut self, app: &App, hold: &mut Hold) -> Result<bool, StoreError> {
        let order = self.order.clone();
        let given = hold.give(app, &self.engine, &self.spec, order).await?;
        self.step = Step::Ordered;
        Ok(given != Given::Refused)
    }

    async fn carried_out(&self, app: &App) -> bool {
        let report = app.ports.engines.report(self.spec.address).await;
        let done = report.is_ok_and(|r| r.fulfils(&self.order));
        if done && matches!(self.order, Order::Role(_)) {
            app.meter.changes.inc();
        }
        done
    }
}
