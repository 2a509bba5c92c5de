use {
    super::{evidence::EvidenceSearch, held_cell::HeldCell},
    crate::{
        app::App,
        ports::{Command, EngineError, OrderContext, StoreError, Target},
    },
    lentil_core::{
        ids::{EngineId, Fence},
        manifest::EngineSpec,
        order::{resolve, Entry, Order, ReleaseEvidence, Resolution},
    },
    std::sync::Arc,
};

/// Result of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderResult {
    /// The engine accepted it, or was already in the requested state.
    Accepted,
    /// It was not sent, or the engine refused it; it will never take effect.
    Refused,
    /// It may still take effect.
    Unsettled,
}

impl HeldCell {
    /// Records an order in the ledger, then sends it to the engine.
    pub(super) async fn issue(
        &mut self,
        app: &App,
        id: &EngineId,
        spec: &EngineSpec,
        order: Order,
    ) -> Result<OrderResult, StoreError> {
        let target = app.addressee(id, spec.address);
        let check = || app.check_control(&target);
        let report = match app.ports.engines.report(&target, &check).await {
            Ok(report) => report,
            Err(error) => {
                log::info!("control: no order sent to engine {id}: {error}");
                if !matches!(error, EngineError::Denied(_)) {
                    app.record_target_failure(&target, false, &error.to_string());
                }
                return Ok(OrderResult::Refused);
            }
        };
        if report.fulfils(&order) {
            return Ok(OrderResult::Accepted);
        }
        let description = order.to_string();
        let before = report.accepted;
        let opened = self.ledger.open(&app.identity, id, order.clone(), report.boot, before);
        let number = match opened {
            Ok(number) => number,
            Err(error) => {
                log::info!("control: no order sent to engine {id}: {error}");
                return Ok(OrderResult::Refused);
            }
        };
        if let Err(error) = self.save(app).await {
            // Nothing was sent; a retry is recorded as a new order with another number.
            self.ledger.settle(id, number);
            return Err(error);
        }
        let context = Some(OrderContext { engine: id.clone(), by: app.identity.clone(), before });
        let command = Command { number, order, context };
        let (result, label) = match self.send(app, &target, command).await {
            Ok(()) => (OrderResult::Accepted, "taken"),
            Err(EngineError::Fenced(seen)) => {
                self.ledger.skip_past(seen);
                (OrderResult::Refused, "fenced")
            }
            Err(EngineError::Refused(_)) => (OrderResult::Refused, "refused"),
            Err(error) if error.not_sent() => (OrderResult::Refused, "refused"),
            Err(EngineError::NoAuthority) => (OrderResult::Refused, "no-authority"),
            Err(error) => {
                log::warn!(
                    "control: order {number} to engine {id} may have been received: {error}"
                );
                (OrderResult::Unsettled, "open")
            }
        };
        app.metrics.orders.with_label_values(&[label]).inc();
        log::info!("control: order {number} to engine {id}, {description}: {label}");
        if result != OrderResult::Unsettled {
            self.ledger.settle(id, number);
            self.save(app).await?;
        }
        Ok(result)
    }

    /// Sends a command while the lease is valid. Stepping down waits until the send has ended.
    async fn send(&self, app: &App, target: &Target, command: Command) -> Result<(), EngineError> {
        let cell_lease = self.cell_lease.clone();
        let _in_flight = cell_lease.order_lock.lock().await;
        let clock = app.clock;
        let lease_valid = || cell_lease.valid(clock.now());
        let check = || app.check_control(target);
        app.ports.engines.order(target, command, &lease_valid, &check).await
    }

    /// Tries to settle an open order; returns whether it is settled.
    pub(super) async fn resolve_open(
        &mut self,
        app: &Arc<App>,
        evidence: &mut EvidenceSearch,
        id: &EngineId,
        entry: &Entry,
        spec: &EngineSpec,
    ) -> Result<bool, StoreError> {
        let target = app.addressee(id, spec.address);
        let check = || app.check_control(&target);
        let Ok(report) = app.ports.engines.report(&target, &check).await else { return Ok(false) };
        let evidence = match spec.fenced || entry.by == app.identity {
            true => ReleaseEvidence::None,
            false => {
                let max_delivery = app.settings.control.order.duration();
                evidence.find(app, &self.cell, entry, max_delivery).await
            }
        };
        match resolve(entry, spec.fenced, &report, &app.identity, evidence) {
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
                let number = self.next_number_after(report.fence);
                self.save(app).await?;
                // An engine that counts accepted orders accepts only one of several that expect the
                // same count, so it is sent the open order again. Other engines are sent a hold.
                let order = entry.before.map_or(Order::Hold, |_| entry.order.clone());
                let before = entry.before;
                let context =
                    Some(OrderContext { engine: id.clone(), by: app.identity.clone(), before });
                let command = Command { number, order, context };
                if let Err(error) = self.send(app, &target, command).await {
                    log::info!(
                        "control: order {number} to engine {id}, sent to settle order {}, failed: {error}",
                        entry.number
                    );
                }
                Ok(false)
            }
            Resolution::Frozen(why) => {
                log::debug!("control: engine {id} is frozen, no orders are sent: {why}");
                Ok(false)
            }
        }
    }

    fn next_number_after(&mut self, seen: Fence) -> Fence {
        self.ledger.skip_past(seen);
        self.ledger.next_number()
    }
}
