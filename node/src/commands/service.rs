use {
    super::claimed_run::{claim, ClaimStart},
    crate::{
        app::{App, TargetView},
        front::CallerRequest,
        http::{full, Body},
        intake::RequestBody,
        ports::ServiceError,
    },
    bytes::Bytes,
    hyper::{header, HeaderMap, Request, Response},
    lentil_core::{
        claim::{ClaimStage, StoredAnswer, MAX_STORED_BODY_BYTES},
        clock::Time,
        error::{ErrorKind, Fault, Outcome},
        ids::{Fingerprint, ServiceId, TargetId},
        manifest::Repeat,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Headers that are not forwarded: they apply to one connection, or the target must not see them.
const DROPPED_HEADERS: [&str; 8] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
];
/// Maximum number of targets tried for one call.
const MAX_TRIED_TARGETS: usize = 3;

/// A call of a plain service as it is sent to a target.
struct ServiceCall {
    service: ServiceId,
    method: hyper::Method,
    path: String,
    headers: HeaderMap,
    body: RequestBody,
    timeout: Duration,
}

/// Sends a call to a plain service, repeating it as far as the service's rule allows. `rest` is the
/// request path after `/services/`.
///
/// # Errors
/// Any [`ErrorKind`].
pub async fn call_service(
    app: Arc<App>,
    request: CallerRequest,
    rest: &str,
) -> Result<Response<Body>, Fault> {
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let (service, spec) = request.index.service(&request.spec, name)?;
    let path = format!("/{path}");
    let repeat = spec.repeat(request.method.as_str(), &path);
    let key = request.header("idempotency-key").map(str::to_owned);
    if repeat == Repeat::Keyed && key.is_none() {
        let text = "this call needs an Idempotency-Key header";
        return Err(Fault::new(ErrorKind::BadRequest, text));
    }
    let (_, class) = request.class()?;
    let prefix = format!("/services/{name}");
    let forwarded_path =
        request.path.strip_prefix(&prefix).filter(|p| p.starts_with('/')).unwrap_or("/");
    let service_call = ServiceCall {
        service: service.clone(),
        method: request.method.clone(),
        path: forwarded_path.to_owned(),
        headers: forwarded_headers(&request.headers),
        body: request.body.clone(),
        timeout: spec.timeout.duration().min(class.deadline.duration()),
    };
    let result = match (repeat, key) {
        (Repeat::Always, _) => service_call.send_repeatable(&app).await,
        (_, None) => service_call.send_once(&app).await,
        (_, Some(key)) => send_keyed(&app, &request, &service_call, &key).await,
    };
    let class = request.spec.class.as_str();
    match &result {
        Ok(_) => app.metrics.record_end(service.as_str(), class, "whole", None),
        Err(fault) => {
            let code = fault.kind.answer().code;
            app.metrics.record_end(service.as_str(), class, code, Some(code));
        }
    }
    result.map(into_response)
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    DROPPED_HEADERS.iter().for_each(|name| {
        forwarded.remove(*name);
    });
    forwarded
}

fn into_response(answer: Response<Bytes>) -> Response<Body> {
    let (mut head, body) = answer.into_parts();
    head.headers = forwarded_headers(&head.headers);
    Response::from_parts(head, full(body))
}

/// Claims the idempotency key, sends the call once, and records how it ended.
async fn send_keyed(
    app: &Arc<App>,
    request: &CallerRequest,
    service_call: &ServiceCall,
    key: &str,
) -> Result<Response<Bytes>, Fault> {
    let method = service_call.method.as_str().as_bytes();
    let parts = [method, service_call.path.as_bytes()];
    let body = Fingerprint::of_chunked(&parts, service_call.body.parts());
    let run = match claim(app, &request.caller, &service_call.service, key, body).await? {
        ClaimStart::Granted(run) => run,
        ClaimStart::Answered(stored) => return replay(stored),
    };
    // The call runs in its own task: it must end and be recorded even if the caller disconnects.
    let (app, service_call) = (app.clone(), service_call.clone_for_task());
    let task = tokio::spawn(async move {
        let result = service_call.send_once(&app).await;
        match &result {
            Ok(answer) => run.record_end(&app, ClaimStage::Answered(stored_answer(answer))),
            Err(fault) if fault.outcome == Outcome::NotRun => run.release(&app),
            Err(_) => run.record_end(&app, ClaimStage::Unknown),
        }
        result
    });
    task.await.unwrap_or_else(|_| {
        Err(Fault::new(ErrorKind::TargetLost, "the task of the call ended without a result"))
    })
}

/// Returns what is stored of an answer; a body that is too large or not text is left out.
fn stored_answer(answer: &Response<Bytes>) -> StoredAnswer {
    let kind = answer.headers().get(header::CONTENT_TYPE);
    let body = std::str::from_utf8(answer.body()).ok().filter(|b| b.len() <= MAX_STORED_BODY_BYTES);
    StoredAnswer {
        status: answer.status().as_u16(),
        kind: kind.and_then(|k| k.to_str().ok()).map(str::to_owned),
        body: body.map(str::to_owned),
    }
}

/// Returns a stored answer as the response to a repeated call.
fn replay(stored: StoredAnswer) -> Result<Response<Bytes>, Fault> {
    let Some(body) = stored.body else {
        let text =
            "the request ran, but its answer could not be stored: it was too large or not text";
        return Err(Fault::new(ErrorKind::BadAnswer, text).with_outcome(Outcome::Ran));
    };
    let mut response = Response::builder().status(stored.status).header("lentil-stored", "yes");
    if let Some(kind) = stored.kind {
        response = response.header(header::CONTENT_TYPE, kind);
    }
    response
        .body(Bytes::from(body))
        .map_err(|e| Fault::new(ErrorKind::BadAnswer, e.to_string()).with_outcome(Outcome::Ran))
}

impl ServiceCall {
    fn clone_for_task(&self) -> Self {
        Self {
            service: self.service.clone(),
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            timeout: self.timeout,
        }
    }

    fn request(&self, address: SocketAddr) -> Request<Body> {
        let mut request = crate::http::request(self.method.clone(), address, &self.path, "");
        let host = request.headers_mut().remove(header::HOST);
        *request.headers_mut() = self.headers.clone();
        if let Some(host) = host {
            request.headers_mut().insert(header::HOST, host);
        }
        *request.body_mut() = self.body.to_http();
        request
    }

    /// Chooses an available target that was not tried yet: the one with the fewest calls in flight,
    /// and among those preferably one in this instance's zone.
    ///
    /// The call is counted as in flight to it until [`Self::send`] has ended.
    fn choose_target(
        &self,
        app: &App,
        tried: &[TargetId],
        now: Time,
    ) -> Option<(TargetId, SocketAddr)> {
        let mut fleet = app.fleet();
        let zone = &app.settings.zone;
        let suitable = |(service, id): &(ServiceId, TargetId), t: &TargetView| {
            *service == self.service && !tried.contains(id) && !t.leaving
        };
        // If all targets fail, they are probed early.
        let early = !fleet.targets.iter().any(|(key, t)| suitable(key, t) && t.breaker.allows(now));
        let available = fleet.targets.iter_mut().filter(|(key, t)| {
            let allows = t.breaker.allows(now) || early && t.breaker.allows_early(now);
            suitable(key, t) && allows
        });
        let ((_, id), target) =
            available.min_by_key(|(key, t)| (t.in_flight, t.zone != *zone, key.1.clone()))?;
        target.in_flight += 1;
        target.breaker.record_send(now);
        Some((id.clone(), target.address))
    }

    /// Sends the call to a chosen target and records the result with its circuit breaker.
    async fn send(&self, app: &App, id: &TargetId, at: SocketAddr) -> CallResult {
        let result = app.ports.services.call(at, self.request(at), self.timeout).await;
        let mut fleet = app.fleet();
        if let Some(target) = fleet.targets.get_mut(&(self.service.clone(), id.clone())) {
            target.in_flight = target.in_flight.saturating_sub(1);
            match &result {
                Ok(_) => target.breaker.record_success(),
                Err(_) => target.breaker.record_failure(app.clock.now()),
            }
        }
        result
    }

    fn no_target(&self) -> Fault {
        let text = format!("service {:?} has no available target", self.service.as_str());
        Fault::new(ErrorKind::NoTarget, text)
    }

    /// Sends the call until a target may have received it; it is never sent again after that.
    async fn send_once(&self, app: &App) -> Result<Response<Bytes>, Fault> {
        let mut tried = Vec::new();
        while tried.len() < MAX_TRIED_TARGETS {
            let Some((id, at)) = self.choose_target(app, &tried, app.now()) else { break };
            match self.send(app, &id, at).await {
                Ok(answer) => return Ok(answer),
                Err(ServiceError::NotSent(_)) => tried.push(id),
                Err(error) => return Err(call_fault(&error)),
            }
        }
        Err(self.no_target())
    }

    /// Sends a call that may be repeated, as often as the retry budget allows.
    async fn send_repeatable(&self, app: &App) -> Result<Response<Bytes>, Fault> {
        app.admission().retries.record_request();
        let mut tried = Vec::new();
        let mut fault = self.no_target();
        while let Some((id, at)) = self.choose_target(app, &tried, app.now()) {
            match self.send(app, &id, at).await {
                Ok(answer) => return Ok(answer),
                Err(ServiceError::NotSent(_)) => {}
                Err(error) => fault = call_fault(&error),
            }
            tried.push(id);
            if tried.len() >= MAX_TRIED_TARGETS || !app.admission().retries.take() {
                break;
            }
            app.metrics.retries.inc();
        }
        Err(fault)
    }
}

type CallResult = Result<Response<Bytes>, ServiceError>;

fn call_fault(error: &ServiceError) -> Fault {
    let kind = match error {
        ServiceError::Timeout => ErrorKind::TargetTimeout,
        ServiceError::NotSent(_) => ErrorKind::NoTarget,
        ServiceError::Lost(_) => ErrorKind::TargetLost,
    };
    Fault::new(kind, error.to_string())
}
