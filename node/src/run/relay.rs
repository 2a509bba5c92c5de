use {
    super::{
        attempt::{Attempt, AttemptEnd},
        task::Task,
    },
    crate::{
        intake::RequestBody,
        ports::{Answer, EngineError, Target},
        reach::{begin_check, running_check},
        relay::send_relayed,
    },
    lentil_core::{
        clock::Time,
        error::{ErrorKind, Fault},
        ids::{Fingerprint, Millis},
        mesh::RelayedRequest,
    },
    std::time::Duration,
    tokio::time::timeout,
};

/// Most instances that are asked to relay one request.
const MAX_RELAYS_TRIED: u32 = 3;

fn millis(time: Duration) -> Millis {
    Millis(time.as_millis() as u64)
}

impl Task {
    /// Returns whether this instance may have another one relay the request. A relayed request is not
    /// relayed on.
    fn may_relay(&self) -> bool {
        self.request.proxied.is_some() && self.request.relayed.is_none()
    }

    /// Waits for a check whether the service is reached, if one is in progress. What is sent into a
    /// dead connection meanwhile would be lost to the caller.
    pub(super) async fn await_reach_check(&self) {
        let (Some(proxied), true) = (&self.request.proxied, self.may_relay()) else { return };
        let Some(check) = running_check(&self.app, &self.request.routing.model) else { return };
        let left = proxied.deadline - self.app.now();
        tokio::select! {
            () = self.sender.closed() => {}
            // The caller's deadline is checked by the attempt.
            _ = timeout(left, check) => {}
        }
    }

    /// Chooses another instance to relay the request, if this one is cut off from its service.
    pub(super) fn choose_relay(&self, now: Time) -> Option<Target> {
        if !self.may_relay() || self.relays_tried >= MAX_RELAYS_TRIED {
            return None;
        }
        let routing = &self.request.routing;
        let mut reach = self.app.reach();
        if !reach.is_cut_off(&routing.model) {
            return None;
        }
        let service = reach.of(&routing.model);
        service.relays.choose(&routing.excluded, rand::random(), now).map(Target::from_relay)
    }

    /// Returns whether this instance is cut off from the request's service.
    pub(super) fn is_cut_off(&self) -> bool {
        self.app.reach().is_cut_off(&self.request.routing.model)
    }

    /// Refuses a relayed request if this instance does not reach its service either.
    pub(super) fn check_relayed(&self) -> Result<(), Fault> {
        if self.request.relayed.is_none() || !self.is_cut_off() {
            return Ok(());
        }
        let text = "the instance does not reach the service of a relayed request";
        Err(Fault::new(ErrorKind::NotReady, text))
    }

    /// Records that a target, or the instance that relays for it, has sent something.
    pub(super) fn record_sign(&self, target: &Target) {
        if target.instance().is_none() {
            self.app.reach().of(&self.request.routing.model).record_sign(self.app.now());
        }
    }

    /// Records that a target did not answer, and checks whether the service is reached at all if that
    /// is in doubt.
    pub(super) fn record_no_answer(&self, target: &Target) {
        if self.request.proxied.is_none() {
            return;
        }
        let service = &self.request.routing.model;
        let targets = self.app.fleet().engines.iter().filter(|e| e.model == *service).count();
        let now = self.app.now();
        if self.app.reach().of(service).record_failure(&target.id, targets, now) {
            // Runs by itself; whoever waits for it joins it.
            drop(begin_check(&self.app, service));
        }
    }

    /// Records a failure of an instance that was to relay the request.
    pub(super) fn record_relay_failure(&self, target: &Target, error: &EngineError) {
        let end = if error.not_run() { "refused" } else { "lost" };
        self.app.metrics.record_relayed(&target.id, end);
        let relays = matches!(error, EngineError::GivenUp(f) if f.kind != ErrorKind::NotReady);
        if let Some(id) = target.instance().filter(|_| !relays) {
            self.app.reach().of(&self.request.routing.model).relays.record_failure(id);
        }
    }

    /// Waits until this instance is found to be cut off from the service and requests in progress at
    /// its targets are lost; forever if the request may not be sent again.
    pub(super) fn lost_by_cut(&self) -> impl std::future::Future<Output = ()> {
        let waits = self.may_relay() && self.may_repeat();
        let mut changes = self.app.reach_changed.subscribe();
        let (app, service) = (self.app.clone(), self.request.routing.model.clone());
        async move {
            while waits && changes.changed().await.is_ok() {
                if app.reach().of(&service).has_lost_requests() {
                    return;
                }
            }
            std::future::pending::<()>().await;
        }
    }

    /// Returns the head and the body of the request as another instance gets it.
    fn relayed_request(&self) -> Option<(RelayedRequest, RequestBody)> {
        let (request, now) = (&self.request, self.app.now());
        let proxied = request.proxied.as_ref()?;
        let original = &proxied.request;
        let headers = original.headers.iter();
        let headers = headers.map(|(n, v)| (n.as_str().to_owned(), v.as_bytes().to_vec()));
        let mut routing = request.routing.clone();
        // The other instance may reach them.
        routing.excluded.retain(|id| !self.unreached.contains(id));
        let head = RelayedRequest {
            id: original.id.clone(),
            method: original.method.to_string(),
            path: original.path.clone(),
            headers: headers.collect(),
            checksum: Fingerprint::of_chunked(&[original.path.as_bytes()], original.body.parts()),
            route: (*proxied.route).clone(),
            version: proxied.version,
            routing,
            max: request.max_tokens,
            waited: millis(now - request.arrived),
            remaining: millis(proxied.deadline - now),
            sends: self.runs_sent,
            last_event: self.last_event.or(proxied.last_event),
            resumes: proxied.resumes.clone(),
        };
        Some((head, original.body.clone()))
    }
}

impl Attempt<'_> {
    /// Has another instance serve the request, and waits for the head of its answer.
    pub(super) async fn send_relayed(&mut self, target: &Target) -> Result<Answer, AttemptEnd> {
        let request = target.instance().zip(self.task.relayed_request());
        let Some((id, (head, body))) = request else {
            let text = "only proxied requests are relayed";
            return Err(AttemptEnd::Failed(Fault::new(ErrorKind::NoTarget, text)));
        };
        self.task.relays_tried += 1;
        let (attempts, remaining) = (head.route.attempts, head.remaining);
        log::info!("run: id={} relayed to={id} sends={} left_ms={remaining}", head.id, head.sends);
        // From here on a cancelled attempt may have run.
        let ran_before = std::mem::replace(&mut self.task.maybe_ran, true);
        let app = self.task.app.clone();
        match send_relayed(&app, (id, target.address), head, &body).await {
            Ok((answer, sends)) => {
                self.task.runs_sent = sends.max(self.task.runs_sent + 1);
                Ok(answer)
            }
            Err(error) => {
                match error {
                    _ if error.not_run() => self.task.maybe_ran = ran_before,
                    // The other instance has tried all targets that the route allows.
                    EngineError::GivenUp(_) => self.task.runs_sent += attempts,
                    _ => self.task.runs_sent += 1,
                }
                let fault = self.record_error(target, &error).await;
                self.task.relay_fault = Some(fault.clone());
                Err(AttemptEnd::Failed(fault))
            }
        }
    }
}
