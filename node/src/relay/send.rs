use {
    super::wire::{encode_request, remove_own_headers, GIVEN_UP, SENDS, SOFTWARE},
    crate::{
        app::App,
        http::{event_parts, read_all, remove_hop_by_hop, PooledConnection, SendFailure},
        intake::RequestBody,
        ports::{Answer, AnswerHead, AnswerPart, EngineError},
    },
    futures_util::{stream::once, StreamExt},
    hyper::{body::Incoming, HeaderMap, Response},
    lentil_core::{
        error::Fault,
        ids::{InstanceId, ModelId},
        mesh::RelayedRequest,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Connect timeout; a live instance accepts within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Size limit of an answer that is not a stream.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Size limit of the fault of an instance that gives a request up.
const MAX_FAULT_BYTES: usize = 16 << 10;

/// Counts a request in progress at the instance that relays it.
struct RelayGuard {
    app: Arc<App>,
    service: ModelId,
    id: InstanceId,
}

impl RelayGuard {
    fn new(app: &Arc<App>, service: &ModelId, id: &InstanceId) -> Self {
        app.reach().of(service).relays.count(id, true);
        Self { app: app.clone(), service: service.clone(), id: id.clone() }
    }
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        self.app.reach().of(&self.service).relays.count(&self.id, false);
    }
}

/// Has another instance serve a request; returns its answer, and how often it has sent the request to
/// targets.
///
/// # Errors
/// [`EngineError::GivenUp`] if the other instance gives it up.
pub async fn send_relayed(
    app: &Arc<App>,
    (id, at): (&InstanceId, SocketAddr),
    head: RelayedRequest,
    body: &RequestBody,
) -> Result<(Answer, u32), EngineError> {
    let guard = RelayGuard::new(app, &head.routing.model, id);
    let (remaining, streams) = (head.remaining.duration(), head.route.streams);
    let (response, pooled) = loop {
        let connect = CONNECT_TIMEOUT.min(remaining);
        let mut pooled = app.links.pool.acquire(id.as_str(), at, connect).await?;
        let request = encode_request(app, (id, at), head.clone(), body);
        let request = request.map_err(EngineError::NotSent)?;
        match pooled.send(request, remaining).await {
            Ok(response) => break (response, pooled),
            Err(SendFailure::Unsent(_)) if pooled.reused() => {}
            Err(SendFailure::Unsent(_)) => {
                let text = "new connection closed before the request was written";
                return Err(EngineError::NotSent(text.into()));
            }
            Err(SendFailure::Lost(error)) => {
                app.links.pool.close_idle(id.as_str());
                return Err(error.into());
            }
        }
    };
    let given_up = response.headers().contains_key(GIVEN_UP);
    if given_up {
        return Err(read_fault(response, pooled).await);
    }
    let sends = header(response.headers(), SENDS).and_then(|s| s.parse().ok());
    let sends = sends
        .ok_or_else(|| EngineError::Malformed("response does not come from an instance".into()))?;
    let answer = read_answer(app, response, pooled, streams, guard).await?;
    Ok((answer, sends))
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

async fn read_fault(response: Response<Incoming>, pooled: PooledConnection) -> EngineError {
    let (head, body) = response.into_parts();
    let body = match read_all(body, MAX_FAULT_BYTES).await {
        Ok(body) => body,
        Err(error) => return EngineError::Lost(error.to_string()),
    };
    pooled.release(&head.headers);
    match serde_json::from_slice::<Fault>(&body) {
        Ok(fault) => EngineError::GivenUp(fault),
        Err(error) => EngineError::Malformed(format!("fault: {error}")),
    }
}

async fn read_answer(
    app: &App,
    response: Response<Incoming>,
    pooled: PooledConnection,
    streams: bool,
    guard: RelayGuard,
) -> Result<Answer, EngineError> {
    let (head, body) = response.into_parts();
    let software = header(&head.headers, SOFTWARE).and_then(|s| s.parse().ok());
    let status = head.status.as_u16();
    let mut headers = head.headers.clone();
    remove_hop_by_hop(&mut headers);
    remove_own_headers(&mut headers);
    let parts = match streams && status == 200 {
        true => event_parts(body, pooled, head.headers),
        false => {
            let body = app.links.bodies.read_all(body, MAX_BODY_BYTES).await;
            let body = body.map_err(|e| EngineError::Lost(e.to_string()))?;
            pooled.release(&head.headers);
            once(async { Ok(AnswerPart::Body(body)) }).boxed()
        }
    };
    let parts = parts.inspect(move |_| {
        // The request is in progress until its last part was read.
        let _ = &guard;
    });
    Ok(Answer { head: Some(AnswerHead { status, headers }), software, parts: parts.boxed() })
}
