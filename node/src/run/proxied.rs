use {super::task::Task, crate::ports::Target, lentil_core::ids::RunId};

impl Task {
    /// Returns whether the first piece, or any later piece, took longer than its objective.
    fn is_late(&self) -> bool {
        let (request, class) = (&self.request, &self.request.routing.class);
        let first = self.first_token.unwrap_or(self.app.now()) - request.arrived;
        first > class.first.duration() || self.longest_gap > class.between.duration()
    }

    /// Logs an answered request with its timing.
    fn log_end(&self) {
        let (request, now) = (&self.request, self.app.now());
        let Some(proxied) = &request.proxied else { return };
        let first = self.first_token.map_or(0, |t| (t - request.arrived).as_millis());
        let late = if self.is_late() { "yes" } else { "no" };
        log::info!(
            "run: id={}{} route={}{} status={} late={late} rank={} prompt={} output={} first_ms={first} total_ms={} gap_ms={} sends={} events={}",
            proxied.request.id,
            request.relayed_text(),
            request.class,
            request.workspace_text(),
            self.status,
            request.routing.rank,
            request.routing.prompt,
            request.routing.output,
            (now - request.arrived).as_millis(),
            self.longest_gap.as_millis(),
            self.runs_sent,
            self.last_event.unwrap_or(0),
        );
    }

    /// Logs a proxied request that ended before its answer was complete.
    pub(super) fn log_early_end(&self, how: &str, why: &str) {
        let Some(proxied) = &self.request.proxied else { return };
        let waited = (self.app.now() - self.request.arrived).as_millis();
        let age = (self.app.now() - self.app.fleet().last_read).as_millis();
        log::info!(
            "run: id={}{} {how} route={}{} after_ms={waited} routes={} targets_age_ms={age} sends={} events={} why={why:?}",
            proxied.request.id,
            self.request.relayed_text(),
            self.request.class,
            self.request.workspace_text(),
            proxied.version,
            self.runs_sent,
            self.last_event.unwrap_or(0),
        );
    }

    /// Logs that a stream which has begun, here or through another instance, is continued.
    pub(super) fn log_send(&self, target: &Target) {
        let Some(proxied) = &self.request.proxied else { return };
        let after = self.last_event.or(proxied.last_event);
        if after.is_none() && proxied.resumes.is_none() {
            return;
        }
        log::info!(
            "run: id={} continues stream={:.64} after={} at={} software={:?}",
            proxied.request.id,
            proxied.resumes.as_deref().unwrap_or("-"),
            after.unwrap_or(0),
            target.id,
            target.software_text(),
        );
    }

    /// Logs and counts a proxied request whose answer was forwarded completely.
    pub(super) fn finish_proxied(&self) {
        let request = &self.request;
        self.log_end();
        let (service, class) = (request.routing.model.as_str(), request.class.as_str());
        let now = self.app.now();
        let first = self.first_token.unwrap_or(now) - request.arrived;
        let good = self.status < 400;
        // The instance that its caller sent it to counts it.
        if request.relayed.is_none() {
            let metrics = &self.app.metrics;
            metrics.record_times(class, first, self.longest_gap);
            let missed = (!good).then_some("status").or(self.is_late().then_some("late"));
            metrics.record_end(service, class, if good { "whole" } else { "failure" }, missed);
            metrics.record_workspace_end(request.workspace.as_ref(), missed.unwrap_or("good"));
        }
        if good {
            self.clear_blame();
        }
        // Requests without a prompt are plain ones: their duration is a slot's service time.
        if request.routing.prompt.0 == 0 && good {
            let elapsed = (now - request.arrived).as_secs_f64();
            self.app
                .fleet()
                .update_rates(&request.routing.model, |rates| rates.service_time.observe(elapsed));
        }
        if good {
            self.observe_speed();
        }
    }
}

impl super::RunRequest {
    /// Returns the field of an end line that names the instance for which the request is served.
    fn relayed_text(&self) -> String {
        self.relayed.as_ref().map_or_else(String::new, |r| format!(" for={}", r.instance))
    }

    /// Returns the field of an end line that names the workspace, if it is known.
    fn workspace_text(&self) -> String {
        self.workspace.as_ref().map_or_else(String::new, |w| format!(" workspace={w}"))
    }

    /// Returns the request's id in logs: the one that the caller gave, or else the run's.
    pub(super) fn log_id<'a>(&'a self, run: &'a RunId) -> &'a str {
        self.proxied.as_ref().map_or(run.as_str(), |r| &r.request.id)
    }
}
