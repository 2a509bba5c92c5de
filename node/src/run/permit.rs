use {
    super::task::Task,
    crate::{mesh::request_permit, ports::Target},
    lentil_core::{
        clock::Time,
        gate::{Denial, DenialReason},
        ids::RequestRate,
        limit::Permit,
        mesh::PermitRequest,
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// Time by which the wait for a permit may be longer than was expected as the target was chosen.
const WAIT_MARGIN: Duration = Duration::from_millis(20);
impl Task {
    /// Waits until one request may be sent to the target; returns whether that needed a permit.
    /// Called before each send, since a limit may have been announced after the target was chosen.
    ///
    /// # Errors
    /// [`Denial::NotBefore`] if that takes longer than was expected as the target was chosen.
    pub(super) async fn acquire_permit(&self, target: &Target) -> Result<bool, Denial> {
        let now = self.app.now();
        let limited = self.app.fleet().engine(&target.id).and_then(|engine| {
            let wait = engine.limit.wait(now);
            let age = engine.limit.age(now);
            Some((engine.limit.rate()?, age, wait, engine.region.clone()))
        });
        let Some((rate, age, expected, region)) = limited else { return Ok(false) };
        let longest = self.request.routing.class.first.duration();
        let wait = longest.min(expected + WAIT_MARGIN);
        let request = PermitRequest { engine: target.id.clone(), boot: target.boot, rate, wait };
        let permit = request_permit(&self.app, &region, &request).await;
        let now = self.app.now();
        let (end, result, next) = match permit {
            Some(Permit::Granted { wait, next }) => ("granted", Ok(wait), next),
            Some(Permit::Denied { next }) => ("denied", Err(next), next),
            None => match self.take_unpermitted(target, rate, now) {
                Ok(()) => ("unpermitted", Ok(Duration::ZERO), Duration::ZERO),
                Err(next) => ("unreachable", Err(next), next),
            },
        };
        self.app.metrics.permits.with_label_values(&[end]).inc();
        if let Some(engine) = self.app.fleet().engine(&target.id) {
            engine.limit.record_wait(next, now);
        }
        match result {
            Ok(wait) => {
                sleep(wait).await;
                Ok(true)
            }
            Err(next) => {
                self.record_denial(target, (rate, age), end, next);
                Err(Denial::NotBefore(now + next, DenialReason::RateLimit))
            }
        }
    }

    /// Takes a request from this instance's own part of the target's rate.
    fn take_unpermitted(
        &self,
        target: &Target,
        rate: RequestRate,
        now: Time,
    ) -> Result<(), Duration> {
        let instances = self.app.member_view().fleet_size(now);
        match self.app.fleet().engine(&target.id) {
            Some(engine) => engine.unpermitted.take(rate, instances, rand::random(), now),
            None => Ok(()),
        }
    }

    fn record_denial(
        &self,
        target: &Target,
        (rate, age): (RequestRate, Duration),
        end: &str,
        next: Duration,
    ) {
        if let Some(engine) = self.app.fleet().engine(&target.id) {
            engine.breaker.cancel_send();
        }
        let id = self.request.proxied.as_ref().map_or("-", |p| p.request.id.as_str());
        log::info!(
            "run: id={id} held at={} rate={rate} rate_age_ms={} permit={end} next_ms={}",
            target.id,
            age.as_millis(),
            next.as_millis()
        );
    }
}
