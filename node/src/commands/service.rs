use {
    super::claimed_run::{claim, ClaimStart},
    crate::{
        app::App,
        front::Call,
        http::{full, Body},
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

/// Headers that concern one connection, or that the target must not see.
const DROPPED: [&str; 8] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
];
/// Targets tried at most for one call.
const MAX_TRIES: usize = 3;

/// A call of a plain service, ready to be sent.
struct ServiceCall {
    service: ServiceId,
    method: hyper::Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    limit: Duration,
}

/// Sends a call to a plain service, as often as its rule allows.
///
/// # Errors
/// Any kind of the table.
pub async fn call_service(app: Arc<App>, call: Call, rest: &str) -> Result<Response<Body>, Fault> {
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let (service, spec) = call.index.service(&call.spec, name)?;
    let path = format!("/{path}");
    let repeat = spec.repeat(call.method.as_str(), &path);
    let key = call.header("idempotency-key").map(str::to_owned);
    if repeat == Repeat::Keyed && key.is_none() {
        let text = "this call needs an Idempotency-Key header";
        return Err(Fault::new(ErrorKind::BadRequest, text));
    }
    let (_, class) = call.class()?;
    let prefix = format!("/services/{name}");
    let onward = call.path.strip_prefix(&prefix).filter(|p| p.starts_with('/')).unwrap_or("/");
    let sent = ServiceCall {
        service: service.clone(),
        method: call.method.clone(),
        path: onward.to_owned(),
        headers: kept(&call.headers),
        body: call.body.clone(),
        limit: spec.timeout.duration().min(class.deadline.duration()),
    };
    let ended = match (repeat, key) {
        (Repeat::Always, _) => sent.repeatable(&app).await,
        (_, None) => sent.once(&app).await,
        (_, Some(key)) => keyed(&app, &call, &sent, &key).await,
    };
    let class = call.spec.class.as_str();
    match &ended {
        Ok(_) => app.metrics.record_end(service.as_str(), class, "whole", None),
        Err(fault) => {
            let code = fault.kind.answer().code;
            app.metrics.record_end(service.as_str(), class, code, Some(code));
        }
    }
    ended.map(answer)
}

fn kept(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    DROPPED.iter().for_each(|name| {
        kept.remove(*name);
    });
    kept
}

fn answer(answer: Response<Bytes>) -> Response<Body> {
    let (mut head, body) = answer.into_parts();
    head.headers = kept(&head.headers);
    Response::from_parts(head, full(body))
}

/// Claims the key, sends the call once, and records how it ended.
async fn keyed(
    app: &Arc<App>,
    call: &Call,
    sent: &ServiceCall,
    key: &str,
) -> Result<Response<Bytes>, Fault> {
    let method = sent.method.as_str().as_bytes();
    let body = Fingerprint::of(&[method, sent.path.as_bytes(), &sent.body]);
    let run = match claim(app, &call.caller, &sent.service, key, body).await? {
        ClaimStart::Granted(run) => run,
        ClaimStart::Answered(stored) => return stored_answer(stored),
    };
    // The call goes on when its caller goes away, or nobody would record how it ended.
    let (app, sent) = (app.clone(), sent.clone_for_task());
    let task = tokio::spawn(async move {
        let ended = sent.once(&app).await;
        match &ended {
            Ok(answer) => run.record_end(&app, ClaimStage::Answered(store(answer))),
            Err(fault) if fault.outcome == Outcome::NotRun => run.release(&app),
            Err(_) => run.record_end(&app, ClaimStage::Unknown),
        }
        ended
    });
    task.await.unwrap_or_else(|_| Err(Fault::new(ErrorKind::TargetLost, "the call was dropped")))
}

fn store(answer: &Response<Bytes>) -> StoredAnswer {
    let kind = answer.headers().get(header::CONTENT_TYPE);
    let body = std::str::from_utf8(answer.body()).ok().filter(|b| b.len() <= MAX_STORED_BODY_BYTES);
    StoredAnswer {
        status: answer.status().as_u16(),
        kind: kind.and_then(|k| k.to_str().ok()).map(str::to_owned),
        body: body.map(str::to_owned),
    }
}

fn stored_answer(stored: StoredAnswer) -> Result<Response<Bytes>, Fault> {
    let Some(body) = stored.body else {
        let text = "the request ran; its answer was too large to be kept";
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
            limit: self.limit,
        }
    }

    fn request(&self, address: SocketAddr) -> Request<Body> {
        let mut request = crate::http::request(self.method.clone(), address, &self.path, "");
        let host = request.headers_mut().remove(header::HOST);
        *request.headers_mut() = self.headers.clone();
        if let Some(host) = host {
            request.headers_mut().insert(header::HOST, host);
        }
        *request.body_mut() = full(self.body.clone());
        request
    }

    /// The open target with the fewest calls, own zone first, that was not tried yet.
    fn target(&self, app: &App, tried: &[TargetId], now: Time) -> Option<(TargetId, SocketAddr)> {
        let mut fleet = app.fleet();
        let zone = &app.settings.zone;
        let open = fleet.targets.iter_mut().filter(|((service, id), t)| {
            *service == self.service && !tried.contains(id) && !t.leaving && t.breaker.allows(now)
        });
        let ((_, id), target) =
            open.min_by_key(|(key, t)| (t.in_flight, t.zone != *zone, key.1.clone()))?;
        target.in_flight += 1;
        target.breaker.sent();
        Some((id.clone(), target.address))
    }

    async fn send(&self, app: &App, id: &TargetId, at: SocketAddr) -> Sent {
        let result = app.ports.services.call(at, self.request(at), self.limit).await;
        let mut fleet = app.fleet();
        if let Some(target) = fleet.targets.get_mut(&(self.service.clone(), id.clone())) {
            target.in_flight = target.in_flight.saturating_sub(1);
            match &result {
                Ok(_) => target.breaker.succeeded(),
                Err(_) => target.breaker.failed(app.clock.now()),
            }
        }
        result
    }

    fn none(&self) -> Fault {
        let text = format!("no target of service {:?} is open", self.service.as_str());
        Fault::new(ErrorKind::NoTarget, text)
    }

    /// Sends the call until one target has received it: never again after that.
    async fn once(&self, app: &App) -> Result<Response<Bytes>, Fault> {
        let mut tried = Vec::new();
        while tried.len() < MAX_TRIES {
            let Some((id, at)) = self.target(app, &tried, app.now()) else { break };
            match self.send(app, &id, at).await {
                Ok(answer) => return Ok(answer),
                Err(ServiceError::NotSent(_)) => tried.push(id),
                Err(error) => return Err(lost(&error)),
            }
        }
        Err(self.none())
    }

    /// Sends a call that may be repeated, as far as the retry budget goes.
    async fn repeatable(&self, app: &App) -> Result<Response<Bytes>, Fault> {
        app.admission().retries.record_request();
        let mut tried = Vec::new();
        let mut fault = self.none();
        while let Some((id, at)) = self.target(app, &tried, app.now()) {
            match self.send(app, &id, at).await {
                Ok(answer) => return Ok(answer),
                Err(ServiceError::NotSent(_)) => {}
                Err(error) => fault = lost(&error),
            }
            tried.push(id);
            if tried.len() >= MAX_TRIES || !app.admission().retries.take() {
                break;
            }
            app.metrics.retries.inc();
        }
        Err(fault)
    }
}

type Sent = Result<Response<Bytes>, ServiceError>;

fn lost(error: &ServiceError) -> Fault {
    let kind = match error {
        ServiceError::Timeout => ErrorKind::TargetTimeout,
        ServiceError::NotSent(_) => ErrorKind::NoTarget,
        ServiceError::Lost(_) => ErrorKind::TargetLost,
    };
    Fault::new(kind, error.to_string())
}
