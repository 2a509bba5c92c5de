use {
    super::{hold::Hold, proof::Proofs},
    crate::{
        app::App,
        ports::{Command, EngineError, Meant, StoreError},
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
pub(super) enum Given {
    /// The engine has taken it.
    Taken,
    /// The engine did not take it and never will.
    Refused,
    /// It may yet take effect.
    Open,
}

impl Hold {
    /// Writes an order to the ledger, then gives it.
    pub(super) async fn give(
        &mut self,
        app: &App,
        id: &EngineId,
        spec: &EngineSpec,
        order: Order,
    ) -> Result<Given, StoreError> {
        let Ok(report) = app.ports.engines.report(spec.address).await else {
            return Ok(Given::Refused);
        };
        if report.fulfils(&order) {
            return Ok(Given::Taken);
        }
        let text = order.to_string();
        let before = report.accepted;
        let opened = self.ledger.open(&app.me, id, order.clone(), report.boot, before);
        let number = match opened {
            Ok(number) => number,
            Err(error) => {
                log::info!("control: {error}");
                return Ok(Given::Refused);
            }
        };
        if let Err(error) = self.save(app).await {
            // Nothing was sent, and it is entered anew with another number.
            self.ledger.settle(id, number);
            return Err(error);
        }
        let meant = Some(Meant { engine: id.clone(), by: app.me.clone(), before });
        let command = Command { number, order, meant };
        let (given, end) = match self.send(app, spec, command).await {
            Ok(()) => (Given::Taken, "taken"),
            Err(EngineError::Fenced(seen)) => {
                self.ledger.skip_past(seen);
                (Given::Refused, "fenced")
            }
            Err(EngineError::Refused(_) | EngineError::NotSent(_)) => (Given::Refused, "refused"),
            Err(EngineError::NoAuthority) => (Given::Refused, "no-authority"),
            Err(error) => {
                log::warn!("control: order {number} to engine {id} is open: {error}");
                (Given::Open, "open")
            }
        };
        app.meter.orders.with_label_values(&[end]).inc();
        log::info!("control: order {number} to engine {id}, {text}: {end}");
        if given != Given::Open {
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
        let seat = self.seat.clone();
        let _on_its_way = seat.gate.lock().await;
        let clock = app.clock;
        let authority = || seat.holds(clock.now());
        app.ports.engines.order(spec.address, command, &authority).await
    }

    /// Looks at an open order; true if it was settled.
    pub(super) async fn settle_open(
        &mut self,
        app: &Arc<App>,
        proofs: &mut Proofs,
        id: &EngineId,
        entry: &Entry,
        spec: &EngineSpec,
    ) -> Result<bool, StoreError> {
        let Ok(report) = app.ports.engines.report(spec.address).await else { return Ok(false) };
        let proof = match spec.fenced || entry.by == app.me {
            true => ReleaseEvidence::None,
            false => {
                let quiet = app.settings.control.order.duration();
                proofs.seek(app, &self.cell, entry, quiet).await
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
                let meant = Some(Meant { engine: id.clone(), by: app.me.clone(), before });
                let command = Command { number, order, meant };
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
