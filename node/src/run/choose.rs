use {
    super::task::{Chosen, Target, Task},
    lentil_core::{
        admit::{admit, choose_and_queue, AdmissionRequest, CallerPatience},
        clock::Time,
        error::{ErrorKind, Fault},
        fleet::{BlockHashes, PrefixProgress},
        ids::Tokens,
        manifest::EngineSpec,
        plan,
        poison::RunPermission,
        route::{choose, shared_key, Pick, RoutingOrigin, RoutingRequest},
    },
};

impl Task {
    /// Notes the demand, for the first cell of this region that serves the model.
    fn record_demand(&self, hit: Tokens) {
        let (app, work, now) = (&self.app, &self.request.work, self.app.now());
        let Ok(index) = app.manifest_index() else { return };
        let here = |e: &&EngineSpec| e.model == work.model && e.region == app.settings.region;
        let any = |e: &&EngineSpec| e.model == work.model;
        let engines = &index.manifest.engines;
        let found = engines.values().find(here).or_else(|| engines.values().find(any));
        let Some(engine) = found else { return };
        let first = work.class.first.duration();
        let one = plan::Request { prompt: work.prompt - hit, output: work.output, first };
        let demand = one.demand(engine.rates.prefill.0);
        app.admission().record_demand(&engine.cell, &work.model, demand, now);
    }

    fn place(&self) -> RoutingOrigin {
        let app = &self.app;
        RoutingOrigin {
            region: app.settings.region.clone(),
            zone: app.settings.zone.clone(),
            instances: app.view().live().count() as u32 + 1,
            salt: rand::random(),
        }
    }

    /// Chooses engines under the tables' locks and notes what is sent to them.
    pub(super) fn choose(&mut self, tries: u32) -> Result<Chosen, Fault> {
        let app = self.app.clone();
        let now = app.now();
        match app.quarantine().permission(self.request.fingerprint, now) {
            RunPermission::Clear => {}
            RunPermission::Isolate => return self.choose_isolated(now),
            RunPermission::Quarantined => {
                let text = "the request has crashed two targets";
                return Err(Fault::new(ErrorKind::Quarantined, text));
            }
        }
        let place = self.place();
        let mut work = self.request.work.clone();
        work.prompt += Tokens(self.done.len() as u64);
        let mut fleet = app.fleet();
        fleet.refresh(now);
        let mut cache = app.cache();
        let chosen = |work: &RoutingRequest| choose(&fleet.engines, &cache, work, &place, now);
        let pick = match &self.request.proxied {
            Some(proxied) if tries == 0 => {
                let (left, silence) = (proxied.deadline - now, proxied.route.silence.duration());
                let pick = choose_and_queue(&mut work, CallerPatience { left, silence }, chosen)?;
                self.request.work.rank = work.rank;
                let class = self.request.class.as_str();
                app.metrics.queue_wait.with_label_values(&[class]).observe(pick.wait.as_secs_f64());
                if work.rank > work.class.rank() {
                    app.metrics.late_requests.with_label_values(&[class]).inc();
                }
                pick
            }
            Some(_) => chosen(&work)?,
            None => {
                let picked = chosen(&work);
                if tries == 0 {
                    self.record_demand(picked.as_ref().map_or(Tokens(0), |p| p.hit));
                    self.admit(picked.as_ref().map_err(Clone::clone)?, now)?;
                }
                picked?
            }
        };
        let todo = work.prompt - pick.hit;
        let fetch = pick.fetch.map(|i| fleet.engines[i].address);
        if let Some(key) = shared_key(&work).filter(|_| self.request.proxied.is_some()) {
            let reader = &fleet.engines[pick.prefill.unwrap_or(pick.decode)];
            cache.record_location(key, &reader.id, PrefixProgress::Prefilling, now);
        }
        let prefill = pick.prefill.map(|i| {
            let engine = &mut fleet.engines[i];
            engine.breaker.sent();
            engine.load.sent(todo, false, now);
            cache.sent(&engine.id, &work.blocks);
            Target::of(engine)
        });
        let engine = &mut fleet.engines[pick.decode];
        engine.breaker.sent();
        let direct = if prefill.is_none() { todo } else { Tokens(0) };
        engine.load.sent(direct, true, now);
        if prefill.is_none() {
            cache.sent(&engine.id, &work.blocks);
        }
        let decode = Target::of(engine);
        if let Some(proxied) = &self.request.proxied {
            let split = prefill.as_ref().map_or("-", |t| t.id.as_str());
            log::info!(
                "run: id={} chosen try={tries} rank={} routes={} targets_age_ms={} decode={} prefill={split} todo={todo} hit={} fetch={} first_ms={} wait_ms={}",
                proxied.call.id,
                work.rank,
                proxied.version,
                (now - fleet.last_read).as_millis(),
                decode.id,
                pick.hit,
                fetch.is_some(),
                pick.first.as_millis(),
                pick.wait.as_millis(),
            );
        }
        Ok(Chosen { decode, prefill, todo, fetch })
    }

    /// The best engine for decoding a prompt that was prefilled elsewhere, by what is known now.
    pub(super) fn choose_decode(&self, chosen: &Target) -> Target {
        if self.request.proxied.is_none() {
            return chosen.clone();
        }
        let now = self.app.now();
        let place = self.place();
        let work = RoutingRequest {
            prompt: Tokens(0),
            blocks: BlockHashes::new(),
            ..self.request.work.clone()
        };
        let fleet = self.app.fleet();
        let cache = self.app.cache();
        match choose(&fleet.engines, &cache, &work, &place, now) {
            Ok(pick) => Target::of(&fleet.engines[pick.decode]),
            Err(_) => chosen.clone(),
        }
    }

    /// Admission, with the use that it leads to.
    fn admit(&self, pick: &Pick, now: Time) -> Result<(), Fault> {
        let request = &self.request;
        let mut admission = self.app.admission();
        let ask = AdmissionRequest {
            workspace: &request.workspace,
            share: request.share,
            class: &request.work.class,
            waited: now - request.arrived,
        };
        admit(&ask, pick, &admission.shares, now)?;
        let cost = pick.end.as_secs_f64();
        admission.shares.record_use(&request.workspace, request.share, cost, now);
        Ok(())
    }
}
