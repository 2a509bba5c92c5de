use {super::task::Task, crate::app::WorkKind, lentil_core::ids::Tokens};

/// Fewest events of a stream from which its token interval is measured.
const MIN_EVENTS: u64 = 4;

impl Task {
    /// Learns the lasting speed of the target that completed the request, if it announces its pace.
    pub(super) fn observe_speed(&self) {
        let (app, routing) = (&self.app, &self.request.routing);
        let Some((target, sent)) = &self.running_at else { return };
        let now = app.now();
        let mut fleet = app.fleet();
        let engine = fleet.engine(&target.id).filter(|e| e.pace.is_announced());
        let Some(pace) = engine.map(|e| e.pace.at(now)) else { return };
        if routing.prompt == Tokens(0) {
            let elapsed = (now - *sent).as_secs_f64();
            fleet.record_speed(&target.id, WorkKind::Plain, elapsed, pace);
            return;
        }
        let resumed = self.request.proxied.as_ref().is_some_and(|p| p.last_event.is_some());
        let events = self.last_event.filter(|events| !resumed && *events >= MIN_EVENTS);
        let Some((events, first)) = events.zip(self.first_token) else { return };
        let interval = (now - first).as_secs_f64() / (events - 1) as f64;
        fleet.update_rates(&routing.model, |rates| rates.token_interval.observe(interval));
        // The pace of one moment says little of a stream, which outlasts it.
        fleet.record_speed(&target.id, WorkKind::Decode, interval, 1.0);
    }
}
