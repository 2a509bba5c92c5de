use {
    super::task::{Target, Task},
    lentil_core::{fleet::PrefixProgress, ids::RunId, route::shared_key},
};

impl Task {
    /// Whether the answer began later than its objective, or paused for longer.
    fn late(&self) -> bool {
        let (request, class) = (&self.request, &self.request.work.class);
        let first = self.first.unwrap_or(self.app.now()) - request.arrived;
        first > class.first.duration() || self.gap > class.between.duration()
    }

    /// One line for each request that was answered, with where its time went.
    fn log_end(&self) {
        let (request, now) = (&self.request, self.app.now());
        let Some(proxied) = &request.proxied else { return };
        let first = self.first.map_or(0, |t| (t - request.arrived).as_millis());
        let late = if self.late() { "yes" } else { "no" };
        log::info!(
            "run: id={} route={} status={} late={late} rank={} prompt={} output={} first_ms={first} total_ms={} gap_ms={} sends={} events={}",
            proxied.call.id,
            request.class,
            self.status,
            request.work.rank,
            request.work.prompt,
            request.work.output,
            (now - request.arrived).as_millis(),
            self.gap.as_millis(),
            self.arrivals,
            self.last.unwrap_or(0),
        );
    }

    /// One line for a request that ended before its answer was whole.
    pub(super) fn log_early_end(&self, how: &str, why: &str) {
        let Some(proxied) = &self.request.proxied else { return };
        let waited = (self.app.now() - self.request.arrived).as_millis();
        let age = (self.app.now() - self.app.fleet().last_read).as_millis();
        log::info!(
            "run: id={} {how} route={} after_ms={waited} routes={} targets_age_ms={age} sends={} events={} why={why:?}",
            proxied.call.id,
            self.request.class,
            proxied.version,
            self.arrivals,
            self.last.unwrap_or(0),
        );
    }

    /// Notes that an engine has the request's shared part in memory.
    pub(super) fn placed(&self, target: &Target) {
        let work = &self.request.work;
        if let Some(key) = shared_key(work).filter(|_| self.request.proxied.is_some()) {
            self.app.cache().record_location(
                key,
                &target.id,
                PrefixProgress::Ready,
                self.app.now(),
            );
        }
    }

    /// Notes how a request that was passed on ended.
    pub(super) fn finish_proxied(&self) {
        let request = &self.request;
        self.log_end();
        let (service, class) = (request.work.model.as_str(), request.class.as_str());
        let now = self.app.now();
        let first = self.first.unwrap_or(now) - request.arrived;
        self.app.metrics.first_token.with_label_values(&[class]).observe(first.as_secs_f64());
        self.app.metrics.token_gap.with_label_values(&[class]).observe(self.gap.as_secs_f64());
        let good = self.status < 400;
        let spent = (!good).then_some("status").or(self.late().then_some("late"));
        self.app.metrics.record_end(service, class, if good { "whole" } else { "failure" }, spent);
        if good {
            self.app.quarantine().clear(request.fingerprint);
        }
        if request.work.prompt.0 == 0 && good {
            let spent = (now - request.arrived).as_secs_f64();
            self.app
                .fleet()
                .update_rates(&request.work.model, |rates| rates.service.observe(spent));
        }
    }
}

impl super::Request {
    /// Name of the request in logs: the caller's, or else the run's.
    pub(super) fn name<'a>(&'a self, run: &'a RunId) -> &'a str {
        self.proxied.as_ref().map_or(run.as_str(), |r| &r.call.id)
    }
}
