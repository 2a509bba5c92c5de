use {super::App, crate::ports::Target};

impl App {
    /// Counts a failure in a target's circuit breaker, or opens it at once if the target is down.
    pub fn record_target_failure(&self, target: &Target, alive: bool, reason: &str) {
        let now = self.now();
        let mut fleet = self.fleet();
        let Some(engine) = fleet.engine(&target.id) else { return };
        let before = engine.breaker.allows(now);
        match alive {
            true => engine.breaker.record_failure(now),
            false => engine.breaker.trip(now),
        }
        if before && !engine.breaker.allows(now) {
            log::info!("breaker: target={} open after={reason:?}", target.id);
        }
    }
}
