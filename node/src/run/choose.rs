use {
    super::{
        engine_choice::EngineChoice,
        prefix::{record_fetch, record_prefix},
        task::Task,
    },
    crate::{mesh::request_trial, ports::Target},
    lentil_core::{
        admit::{admit, choose_and_queue, AdmissionRequest, CallerPatience, ShareRequest},
        clock::Time,
        error::{ErrorKind, Fault},
        fleet::{BlockHashes, PrefixProgress},
        ids::Tokens,
        manifest::EngineSpec,
        plan,
        poison::{RunPermission, Subject},
        route::{choose, Pick, RoutingOrigin, RoutingRequest},
    },
    std::time::Duration,
};

impl Task {
    /// Records the demand for the first cell that serves the model, preferring this region.
    fn record_demand(&self, hit: Tokens) {
        let (app, routing, now) = (&self.app, &self.request.routing, self.app.now());
        let Ok(index) = app.manifest_index() else { return };
        let local = |e: &&EngineSpec| e.model == routing.model && e.region == app.settings.region;
        let any = |e: &&EngineSpec| e.model == routing.model;
        let engines = &index.manifest.engines;
        let found = engines.values().find(local).or_else(|| engines.values().find(any));
        let Some(engine) = found else { return };
        let first_token = routing.class.first.duration();
        let one =
            plan::Request { prompt: routing.prompt - hit, output: routing.output, first_token };
        let demand = one.demand(engine.rates.prefill.0);
        app.admission().record_demand(&engine.cell, &routing.model, demand, now);
    }

    fn origin(&self) -> RoutingOrigin {
        let app = &self.app;
        let view = app.member_view();
        RoutingOrigin {
            region: app.settings.region.clone(),
            zone: app.settings.zone.clone(),
            instances: view.live().count() as u32 + 1,
            partial: view.is_small_part(app.now()),
            salt: rand::random(),
        }
    }

    /// Returns whether the request must run in isolation.
    ///
    /// # Errors
    /// [`ErrorKind::Quarantined`] if it may not run at all.
    pub(super) fn run_permission(&mut self, now: Time) -> Result<RunPermission, Fault> {
        let quarantined = self.app.quarantine().quarantined_among(&self.subjects(), now);
        let Some(subject) = quarantined.first() else {
            return Ok(self.app.quarantine().permission(self.request.fingerprint, now));
        };
        if self.trial {
            return Ok(match subject {
                Subject::Request(_) => RunPermission::Isolate,
                Subject::Part(_) => RunPermission::Clear,
            });
        }
        let wait = self.app.quarantine().time_to_trial(&quarantined, now);
        let text = match subject {
            Subject::Request(_) => "the request has crashed two targets",
            Subject::Part(_) => "a part of the prompt has crashed several targets",
        };
        let text = format!("{text}, {subject} next_trial_ms={}", wait.as_millis());
        Err(Fault::new(ErrorKind::Quarantined, text).with_min_retry(wait))
    }

    /// Takes the trial of the quarantined ones among the request's subjects, if one is due for all.
    pub(super) async fn take_trial(&mut self) {
        self.trial = false;
        let now = self.app.now();
        let quarantined = {
            let quarantine = self.app.quarantine();
            let quarantined = quarantine.quarantined_among(&self.subjects(), now);
            if quarantined.is_empty() || !quarantine.is_trial_due(&quarantined, now) {
                return;
            }
            quarantined
        };
        self.trial = request_trial(&self.app, &quarantined).await;
        if self.trial {
            let id = self.request.proxied.as_ref().map_or("-", |p| p.request.id.as_str());
            log::info!("poison: run: id={id} tries quarantined {}", quarantined[0]);
        }
    }

    /// Chooses engines and records what will be sent to them, under the locks of the shared tables.
    pub(super) fn choose(&mut self, attempts: u32) -> Result<EngineChoice, Fault> {
        let app = self.app.clone();
        let now = app.now();
        let permission = self.run_permission(now)?;
        self.check_relayed()?;
        if let Some(relay) = self.choose_relay(now) {
            return Ok(EngineChoice::relayed(relay));
        }
        if let Some(fault) = self.relay_fault.clone().filter(|_| self.is_cut_off()) {
            return Err(fault);
        }
        if permission == RunPermission::Isolate {
            return self.choose_isolated(now);
        }
        let origin = self.origin();
        let mut routing = self.request.routing.clone();
        routing.prompt += Tokens(self.sent_tokens.len() as u64);
        let mut fleet = app.fleet();
        fleet.refresh(now);
        let mut cache = app.cache_index();
        let pick_for =
            |routing: &RoutingRequest| choose(&fleet.engines, &cache, routing, &origin, now);
        let pick = match &self.request.proxied {
            Some(proxied) if attempts == 0 => {
                let (left, idle_timeout) =
                    (proxied.deadline - now, proxied.route.idle_timeout.duration());
                let pick =
                    choose_and_queue(&mut routing, CallerPatience { left, idle_timeout }, pick_for);
                let pick = self.admit_share(pick, now)?;
                self.request.routing.rank = routing.rank;
                let class = self.request.class.as_str();
                app.metrics
                    .queue_wait
                    .with_label_values(&[class])
                    .observe(pick.queue_wait.as_secs_f64());
                if routing.rank > routing.class.rank() {
                    app.metrics.late_requests.with_label_values(&[class]).inc();
                }
                pick
            }
            Some(_) => pick_for(&routing).or_else(|fault| {
                // A target that broke its answer may be the only one that can continue the stream.
                if routing.software.is_none() || routing.excluded.is_empty() {
                    return Err(fault);
                }
                routing.excluded.clear();
                pick_for(&routing)
            })?,
            None => {
                let picked = pick_for(&routing);
                if attempts == 0 {
                    self.record_demand(picked.as_ref().map_or(Tokens(0), |p| p.hit));
                    self.admit(picked.as_ref().map_err(Clone::clone)?, now)?;
                }
                picked?
            }
        };
        let prefill_tokens = routing.prompt - pick.hit;
        let prefiller = &fleet.engines[pick.prefill.unwrap_or(pick.decode)];
        let (weighed, prefill_pace) = (prefiller.kv.is_some(), prefiller.pace.at(now));
        let decode_pace = fleet.engines[pick.decode].pace.at(now);
        let assumed = pick.assumed;
        let fetch_from = pick.fetch.map(|i| Target::from_view(&fleet.engines[i]));
        if self.request.proxied.is_some() {
            let id = fleet.engines[pick.prefill.unwrap_or(pick.decode)].id.clone();
            let prefilling = PrefixProgress::Prefilling;
            record_prefix(&mut fleet, &mut cache, &routing, &id, prefilling, now);
            record_fetch(&mut fleet.engines, &routing, &pick, now);
        }
        let prefill = pick.prefill.map(|i| {
            let engine = &mut fleet.engines[i];
            engine.breaker.record_send(now);
            engine.load.record_send(prefill_tokens, false, now);
            cache.record_send(&engine.id, &routing.blocks);
            Target::from_view(engine)
        });
        let engine = &mut fleet.engines[pick.decode];
        engine.breaker.record_send(now);
        let prefill_here = if prefill.is_none() { prefill_tokens } else { Tokens(0) };
        engine.load.record_send(prefill_here, true, now);
        if prefill.is_none() {
            cache.record_send(&engine.id, &routing.blocks);
        }
        let decode = Target::from_view(engine);
        if let Some(proxied) = &self.request.proxied {
            let prefill_id = prefill.as_ref().map_or("-", |t| t.id.as_str());
            log::info!(
                "run: id={} chosen try={attempts} rank={} routes={} targets_age_ms={} decode={} software={:?} prefill={prefill_id} todo={prefill_tokens} hit={} assumed={assumed} fetch={} first_ms={} wait_ms={} weighed={weighed} pace={decode_pace:.2} prefill_pace={prefill_pace:.2}",
                proxied.request.id,
                routing.rank,
                proxied.version,
                (now - fleet.last_read).as_millis(),
                decode.id,
                decode.software_text(),
                pick.hit,
                fetch_from.is_some(),
                pick.first_token.as_millis(),
                pick.queue_wait.as_millis(),
            );
        }
        Ok(EngineChoice { decode, prefill, prefill_tokens, assumed, fetch_from })
    }

    /// Chooses the decode engine again, by current loads, once a prompt was prefilled elsewhere.
    /// Requests that are not proxied keep the engine chosen first.
    pub(super) fn choose_decode(&self, chosen: &Target) -> Target {
        if self.request.proxied.is_none() {
            return chosen.clone();
        }
        let now = self.app.now();
        let origin = self.origin();
        let routing = RoutingRequest {
            prompt: Tokens(0),
            blocks: BlockHashes::new(),
            ..self.request.routing.clone()
        };
        let fleet = self.app.fleet();
        let cache = self.app.cache_index();
        match choose(&fleet.engines, &cache, &routing, &origin, now) {
            Ok(pick) => Target::from_view(&fleet.engines[pick.decode]),
            Err(_) => chosen.clone(),
        }
    }

    /// Admits or refuses a proxied request by the share of its workspace, if that is known, and
    /// charges its expected cost to the workspace if admitted. `picked` is the choice by queues.
    fn admit_share(&mut self, picked: Result<Pick, Fault>, now: Time) -> Result<Pick, Fault> {
        let request = &self.request;
        let Some(workspace) = &request.workspace else { return picked };
        // Engines may be chosen more than once for one attempt, when a send was denied.
        if std::mem::replace(&mut self.share_checked, true) {
            return picked;
        }
        let routing = &request.routing;
        let share = ShareRequest {
            workspace,
            service: &routing.model,
            rank: routing.class.rank(),
            first: routing.class.first.duration(),
            wait: picked.as_ref().map_or(Duration::ZERO, |pick| pick.queue_wait),
        };
        let mut admission = self.app.admission();
        admission.shares.admit(&share, now)?;
        let pick = picked?;
        let cost = pick.end.saturating_sub(pick.queue_wait).as_secs_f64();
        admission.shares.record_admission(&share, cost, now);
        Ok(pick)
    }

    /// Admits or refuses the request, and charges its expected cost to the workspace if admitted.
    fn admit(&self, pick: &Pick, now: Time) -> Result<(), Fault> {
        let request = &self.request;
        let Some(workspace) = &request.workspace else { return Ok(()) };
        let mut admission = self.app.admission();
        let admission_request = AdmissionRequest {
            workspace,
            share: request.share,
            class: &request.routing.class,
            waited: now - request.arrived,
        };
        admit(&admission_request, pick, &admission.usage, now)?;
        let cost = pick.end.as_secs_f64();
        admission.usage.record_use(workspace, request.share, cost, now);
        Ok(())
    }
}
