use {
    super::App,
    crate::ports::LimitObserver,
    lentil_core::{
        clock::Time,
        ids::{EngineId, Incarnation, Millis, RequestRate},
        mesh::LimitNote,
    },
};

impl App {
    /// Records what an answer to a request sent at `sent` shows about a target's limit. Returns a
    /// note of it if that changes the limit in force. `boot` is the target's incarnation if the
    /// source knows it.
    pub fn record_limit(
        &self,
        target: &EngineId,
        boot: Option<Incarnation>,
        announced: Option<RequestRate>,
        sent: Time,
        source: &str,
    ) -> Option<LimitNote> {
        let now = self.now();
        let mut fleet = self.fleet();
        let engine = fleet.engine(target).filter(|e| boot.is_none_or(|boot| boot == e.boot))?;
        if !engine.limit.record(announced, sent, now) {
            return None;
        }
        let rate = announced.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
        let age = Millis((now - sent).as_millis() as u64);
        log::info!("limit: target={target} rate={rate} from={source} age_ms={age}");
        Some(LimitNote { engine: target.clone(), boot: engine.boot, rate: announced, age })
    }

    /// Waits until this instance has seen limits change, and returns notes of these changes for the
    /// other instances.
    pub async fn take_limit_notes(&self) -> Vec<LimitNote> {
        self.limits_changed.notified().await;
        std::mem::take(&mut *super::lock(&self.limit_notes))
    }
}

impl LimitObserver for App {
    fn now(&self) -> Time {
        self.now()
    }

    fn record_answer(&self, target: &EngineId, announced: Option<RequestRate>, sent: Time) {
        if let Some(note) = self.record_limit(target, None, announced, sent, "answer") {
            super::lock(&self.limit_notes).push(note);
            self.limits_changed.notify_one();
        }
    }
}
