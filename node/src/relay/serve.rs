use {
    super::wire::{decode_request, given_up, remove_own_headers, MAX_HEAD_BYTES, SENDS, SOFTWARE},
    crate::{
        app::{App, Phase},
        commands::proxy_relayed,
        front::proxied_reply,
        http::Body,
        intake::IntakeError,
    },
    hyper::{body::Incoming, header, header::HeaderValue, Request, Response},
    lentil_core::error::{ErrorKind, Fault, Outcome},
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Timeout for reading a relayed request; the other instance has it complete.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves a request of another instance's caller.
pub async fn serve_relayed(
    app: Arc<App>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let result = relay(&app, request).await;
    let end = match &result {
        Ok(_) => "answered",
        Err(fault) if fault.outcome == Outcome::NotRun => "refused",
        Err(_) => "lost",
    };
    app.metrics.relays_served.with_label_values(&[end]).inc();
    let mut response = result.unwrap_or_else(|fault| given_up(&fault));
    if *app.phase.borrow() != Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn relay(app: &Arc<App>, request: Request<Incoming>) -> Result<Response<Body>, Fault> {
    let permit = app.links.permits.clone().try_acquire_owned().map_err(|_| {
        Fault::new(ErrorKind::NoCapacity, "too many requests of other instances are in progress")
    })?;
    let limit = app.routes().map_or_else(|_| 0, |table| table.limits.body.0 as usize);
    let mut body = request.into_body();
    let read = timeout(READ_TIMEOUT, app.memory.read(&mut body, limit + MAX_HEAD_BYTES)).await;
    let bytes = read.unwrap_or(Err(IntakeError::Stalled)).map_err(|error| match error {
        // Earlier builds don't know the kind of this error, and it is no fault of the caller.
        IntakeError::Stalled => Fault::new(ErrorKind::NoCapacity, error.to_string()),
        error => error.into(),
    })?;
    let (from, head, body) = decode_request(app, &app.links, bytes)?;
    let streams = head.route.streams;
    let pieces = proxy_relayed(app.clone(), from, head, body)?.with_permit(permit);
    let (mut response, source) = proxied_reply(pieces, streams).await?;
    let headers = response.headers_mut();
    remove_own_headers(headers);
    headers.insert(SENDS, source.sends.into());
    if let Some(software) = source.software.and_then(|s| s.as_str().parse().ok()) {
        headers.insert(SOFTWARE, software);
    }
    Ok(response)
}
