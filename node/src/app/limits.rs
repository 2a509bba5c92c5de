use {
    super::App,
    crate::ports::LimitObserver,
    lentil_core::{
        clock::Time,
        ids::{EngineId, RequestRate},
    },
};

impl LimitObserver for App {
    fn now(&self) -> Time {
        self.now()
    }

    fn record_answer(&self, target: &EngineId, announced: Option<RequestRate>, sent: Time) {
        let now = self.now();
        let mut fleet = self.fleet();
        let Some(engine) = fleet.engine(target) else { return };
        if engine.limit.record(announced, sent, now) {
            log_limit(target, engine.limit.rate(), "answer");
        }
    }
}

/// Logs a change of the limit in force at a target.
fn log_limit(target: &EngineId, rate: Option<RequestRate>, source: &str) {
    let rate = rate.map_or_else(|| "none".to_owned(), |r| r.to_string());
    log::info!("limit: target={target} rate={rate} from={source}");
}
