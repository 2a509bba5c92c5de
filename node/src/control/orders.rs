use {
    super::{evidence::EvidenceSearch, held_cell::HeldCell},
    crate::{
        app::App,
        ports::{Command, EngineError, OrderContext, StoreError},
    },
    lentil_core::{
        ids::{EngineId, Fence},
        manifest::EngineSpec,
        order::{resolve, Entry, Order, ReleaseEvidence, Resolution},
    },
    std::sync::Arc,
};

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderResult {
    /// The engine has taken it.
    Accepted,
    /// The engine did not take it and never will.
    Refused,
    /// It may yet take effect.
    Unsettled,
}

impl HeldCell {
    /// Writes an order to the ledger, then gives it.
    pub(super) async fn issue(
        &mut self,
        app: &App,
        id: &EngineId,
        spec: &EngineSpec,
        order: Order,
    ) -> Result<OrderResult, StoreError> {
        let Ok(report) = app.ports.engines.report(spec.address).await else {
            return Ok(OrderResult::Refused);
        };
        if report.fulfils(&order) {
            return Ok(OrderResult::Accepted);
        }
        let text = order.to_string();
        let before = report.accepted;
        let opened = self.ledger.open(&app.me, id, order.clone(), report.boot, before);
        let number = match opened {
            Ok(number) => number,
            Err(error) => {
                log::info!("control: {error}");
                return Ok(OrderResult::Refused);
            }
        };
        if let Err(error) = self.save(app).await {
            // Nothing was sent, and it is entered anew with another number.
            self.ledger.settle(id, number);
            return Err(error);
        }
        let context = Some(OrderContext { engine: id.clone(), by: app.me.clone(), before });
        let command = Command { number, order, context };
        let (given, end) = match self.send(app, spec, command).await {
            Ok(()) => (OrderResult::Accepted, "taken"),
            Err(EngineError::Fenced(seen)) => {
                self.ledger.skip_past(seen);
                (OrderResult::Refused, "fenced")
            }
            Err(EngineError::Refused(_) | EngineError::NotSent(_)) => {
                (OrderResult::Refused, "refused")
            }
            Err(EngineError::NoAuthority) => (OrderResult::Refused, "no-authority"),
            Err(error) => {
                log::warn!("control: order {number} to engine {id} is open: {error}");
                (OrderResult::Unsettled, "open")
            }
        };
        app.metrics.orders.with_label_values(&[end]).inc();
        log::info!("control: order {number} to engine {id}, {text}: {end}");
        if given != OrderResult::Unsettled {
            self.ledger.settle(id, number);
            self.save(app).await?;
        }
        Ok(given)
    }

    /// Sends a command while authority holds, with the gate closed against stepping down.
    async fn send(
        &self,
        app: &App,
        spec: &EngineSpec,
        command: Command,
    ) -> Result<(), EngineError> {
        let cell_lease = self.cell_lease.clone();
        let _on_its_way = cell_lease.order_lock.lock().await;
        let clock = app.clock;
        let authority = || cell_lease.valid(clock.now());
        app.ports.engines.order(spec.address, command, &authority).await
    }

    /// Looks at an open order; true if it was settled.
    pub(super) async fn resolve_open(
        &mut self,
        app: &Arc<App>,
        evidence: &mut EvidenceSearch,
        id: &EngineId,
        entry: &Entry,
        spec: &EngineSpec,
    ) -> Result<bool, StoreError> {
        let Ok(report) = app.ports.engines.report(spec.address).await else { return Ok(false) };
        let proof = match spec.fenced || entry.by == app.me {
            true => ReleaseEvidence::None,
            false => {
                let quiet = app.settings.control.order.duration();
                evidence.find(app, &self.cell, entry, quiet).await
            }
        };
        match resolve(entry, spec.fenced, &report, &app.me, proof) {
            Resolution::Settled => {
                self.ledger.settle(id, entry.number);
                self.save(app).await?;
                log::info!("control: order {} to engine {id} is settled", entry.number);
                Ok(true)
            }
            Resolution::Record(stage, boot) => {
                self.ledger.record(id, entry.number, stage, boot);
                self.save(app).await?;
                Ok(false)
            }
            Resolution::SendHold => {
                let number = self.raise(report.fence);
                self.save(app).await?;
                // The order itself, given once more, takes the place of the one that is open.
                let order = entry.before.map_or(Order::Hold, |_| entry.order.clone());
                let before = entry.before;
                let context = Some(OrderContext { engine: id.clone(), by: app.me.clone(), before });
                let command = Command { number, order, context };
                if let Err(error) = self.send(app, spec, command).await {
                    log::info!("control: engine {id} was not told again: {error}");
                }
                Ok(false)
            }
            Resolution::Frozen(why) => {
                log::debug!("control: engine {id} gets no orders: {why}");
                Ok(false)
            }
        }
    }

    fn raise(&mut self, seen: Fence) -> Fence {
        self.ledger.skip_past(seen);
        self.ledger.next_number()
    }
}
