use {
    super::App,
    crate::ports::{Announcement, AnswerObserver, Target},
    lentil_core::{
        clock::Time,
        ids::{EngineId, Incarnation, Millis, RequestRate},
        mesh::{LimitNote, Update},
    },
    std::time::Duration,
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

    /// Records that a target is leaving, and tells the other instances. Nothing else that this
    /// instance hears takes that back while the target's process lives.
    fn record_leaving(&self, target: &Target) {
        let now = self.now();
        if !self.fleet().record_leaving(&target.id, target.boot, now) {
            return;
        }
        log::info!("notice: target={} boot={} leaving=yes from=answer", target.id, target.boot);
        let (engine, boot) = (target.id.clone(), target.boot);
        self.member_view().queue_update(Update::Leaving { engine, boot });
        self.targets_changed.notify_one();
    }

    /// Records that a target wants no requests from this instance for `time`.
    fn record_hold(&self, target: &Target, time: Duration) {
        let now = self.now();
        if self.fleet().record_hold(&target.id, target.boot, now + time, now) {
            let ms = time.as_millis();
            log::info!("notice: target={} boot={} held_ms={ms}", target.id, target.boot);
        }
    }
}

impl AnswerObserver for App {
    fn now(&self) -> Time {
        self.now()
    }

    fn record_answer(&self, target: &Target, announced: &Announcement, sent: Time) {
        let service = self.fleet().engine(&target.id).map(|e| e.model.clone());
        if let Some(service) = service {
            self.reach().of(&service).record_sign(self.now());
        }
        if announced.leaving {
            self.record_leaving(target);
        }
        if let Some(time) = announced.hold {
            self.record_hold(target, time);
        }
        if let Some(pace) = announced.pace {
            self.fleet().record_pace(&target.id, target.boot, pace, self.now());
        }
        let Some(limit) = announced.limit else { return };
        if let Some(note) = self.record_limit(&target.id, None, limit, sent, "answer") {
            super::lock(&self.limit_notes).push(note);
            self.limits_changed.notify_one();
        }
    }
}
