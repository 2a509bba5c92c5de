use {
    super::{proxy::proxied_caller, workspace::relayed_workspace},
    crate::{
        app::App,
        intake::RequestBody,
        ports::ProxyRequest,
        run::{self, Pieces, Proxied, RelayedFrom, RunRequest},
    },
    hyper::{
        header::{HeaderName, HeaderValue},
        HeaderMap, Method,
    },
    lentil_core::{
        error::{ErrorKind, Fault},
        ids::InstanceId,
        mesh::RelayedRequest,
    },
    std::sync::Arc,
};

/// Serves a request for another instance and returns the pieces of the answer as they arrive.
///
/// Route and service are those of the other instance, the targets are chosen here.
///
/// # Errors
/// [`ErrorKind::BadRequest`] if its head is malformed; those of
/// [`identify_workspace`](super::identify_workspace) if it carries a key.
pub fn proxy_relayed(
    app: Arc<App>,
    from: InstanceId,
    head: RelayedRequest,
    body: RequestBody,
) -> Result<Pieces, Fault> {
    let bad = |text: String| Fault::new(ErrorKind::BadRequest, format!("relayed request: {text}"));
    let method: Method = head.method.parse().map_err(|_| bad("invalid method".into()))?;
    let mut headers = HeaderMap::new();
    for (name, value) in &head.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|e| bad(e.to_string()))?;
        let value = HeaderValue::from_bytes(value).map_err(|e| bad(e.to_string()))?;
        headers.append(name, value);
    }
    let now = app.now();
    log::info!(
        "run: id={} relayed from={from} routes={} sends={} left_ms={}",
        head.id,
        head.version,
        head.sends,
        head.remaining
    );
    let workspace = relayed_workspace(&app, &head.route, &mut headers)?;
    let request = ProxyRequest { id: head.id, method, path: head.path, headers, body };
    let run_request = RunRequest {
        fingerprint: request.fingerprint(workspace.as_ref(), &head.routing.model),
        caller: proxied_caller()?,
        workspace,
        share: 1.0,
        class: head.route.name.clone(),
        arrived: now.earlier(head.waited.duration()),
        max_tokens: head.max,
        routing: head.routing,
        held: None,
        prompt: String::new(),
        proxied: Some(Proxied {
            request: Arc::new(request),
            version: head.version,
            route: Arc::new(head.route),
            deadline: now + head.remaining.duration(),
            last_event: head.last_event,
            resumes: head.resumes,
        }),
        relayed: Some(RelayedFrom { instance: from, sends: head.sends }),
    };
    Ok(run::start(app, run_request))
}
