use {
    super::{request::Proxied, task::Task},
    crate::{
        mesh::{announce_stream, search_origin},
        ports::Target,
    },
    lentil_core::{
        error::{ErrorKind, Fault, Outcome},
        ids::ModelId,
        stream::{StreamKey, StreamOrigin},
    },
    std::time::Duration,
};

/// Time after which another instance, or this one, may know more about a stream.
const UNKNOWN_ORIGIN_RETRY: Duration = Duration::from_millis(300);

impl Proxied {
    /// Returns the key of the stream that the caller resumes, if it names one.
    fn resumed_stream(&self) -> Option<StreamKey> {
        self.resumes.as_deref().map(StreamKey::of)
    }

    /// Returns whether the caller resumes a stream.
    fn resumes_stream(&self) -> bool {
        self.resumes.is_some() || self.last_event.is_some_and(|id| id > 0)
    }

    fn allows(&self, service: &ModelId) -> bool {
        self.route.services.iter().any(|(s, _)| s.as_str() == service.as_str())
    }
}

impl Task {
    /// Restricts a request that resumes a stream to the service and software version that began it.
    ///
    /// # Errors
    /// [`ErrorKind::StreamGone`] if no instance knows which version that is, and the service has had
    /// several.
    pub(super) async fn bind_resumed_stream(&mut self) -> Result<(), Fault> {
        let Some(proxied) = self.request.proxied.clone() else { return Ok(()) };
        // The instance that relays the request has found it out.
        let bound = self.request.routing.software.is_some();
        if bound || !proxied.route.resumable || !proxied.resumes_stream() {
            return Ok(());
        }
        let service = self.request.routing.model.clone();
        let search = search_origin(&self.app, proxied.resumed_stream(), &service).await;
        let origin = search.resume_at(|service| proxied.allows(service));
        let how = match &origin {
            Some(_) if search.found() => "found",
            Some(_) => "sole",
            None => "unknown",
        };
        self.app.metrics.stream_origins.with_label_values(&[how]).inc();
        let software = origin.as_ref().map_or("", |origin| origin.software.as_str());
        log::info!(
            "run: id={} resumes stream={:.64} after={} origin={how} software={software:?}",
            proxied.request.id,
            proxied.resumes.as_deref().unwrap_or("-"),
            proxied.last_event.unwrap_or(0),
        );
        let Some(origin) = origin else {
            let text = "it is not known which software version began the stream";
            return Err(Fault::new(ErrorKind::StreamGone, text)
                .with_outcome(Outcome::NotRun)
                .with_retry(UNKNOWN_ORIGIN_RETRY));
        };
        self.request.routing.model = origin.service;
        self.request.routing.software = Some(origin.software);
        Ok(())
    }

    /// Binds the stream to the target's software version before its first event is forwarded.
    pub(super) async fn bind_stream(&mut self, target: &Target) {
        let Some(proxied) = &self.request.proxied else { return };
        let Some(software) = target.software.clone().filter(|_| proxied.route.resumable) else {
            return;
        };
        let stream = proxied.resumed_stream();
        let stream = stream.unwrap_or_else(|| StreamKey::of(&proxied.request.id));
        let service = self.request.routing.model.clone();
        self.request.routing.software = Some(software.clone());
        announce_stream(&self.app, stream, StreamOrigin { service, software }).await;
    }

    /// Returns a fault if the request continues a stream and no target of its software version is
    /// left, so that waiting for one is of no use.
    pub(super) fn check_version_left(&self) -> Result<(), Fault> {
        let routing = &self.request.routing;
        let Some(software) = &routing.software else { return Ok(()) };
        let fleet = self.app.fleet();
        let serves = |e: &lentil_core::fleet::EngineView| {
            e.model == routing.model && e.software.as_ref() == Some(software) && !e.leaving
        };
        if fleet.engines.iter().any(serves) {
            return Ok(());
        }
        let text = "no target of the software version that began the stream is left";
        Err(Fault::new(ErrorKind::StreamGone, text).with_outcome(Outcome::NotRun))
    }
}
