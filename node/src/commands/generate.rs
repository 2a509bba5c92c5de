use {
    super::generation_request::GenerationRequest,
    crate::{
        app::App,
        front::{error_event, json_response, CallerRequest, Shape, Usage},
        http::{streamed, Body},
        intake::RequestBody,
        run::{self, Piece, Pieces, RunRequest},
    },
    bytes::Bytes,
    futures_util::{stream::unfold, StreamExt},
    hyper::{header, Response},
    lentil_core::{
        error::{ErrorKind, Fault},
        fleet::{count_tokens, prefix_blocks},
        ids::{Fingerprint, Tokens},
        route::RoutingRequest,
    },
    std::{io, sync::Arc},
};

/// Runs a generation and returns its answer, whole or as a stream as the caller asked.
///
/// # Errors
/// Any [`ErrorKind`]. Errors of a stream after its first token are sent as its last event.
pub async fn generate(
    app: Arc<App>,
    mut request: CallerRequest,
    shape: Shape,
) -> Result<Response<Body>, Fault> {
    let params = GenerationRequest::parse(&request.body.to_bytes(), shape)?;
    // From here on, the prompt is held in place of the body.
    request.body = RequestBody::default();
    let held = app.memory.hold(params.prompt.len())?;
    let run_request = RunRequest { held: Some(held), ..build_request(&app, &request, &params)? };
    let (prompt, model) = (run_request.routing.prompt, params.model.clone());
    let mut pieces = run::start(app, run_request);
    // The response begins only with the first token, so that a request that is refused before gets
    // an error status.
    let first = pieces.next().await?;
    pieces.put_back(first);
    if params.stream {
        return Ok(event_stream(shape, model, pieces));
    }
    collect_answer(shape, &model, prompt, pieces).await
}

fn build_request(
    app: &App,
    request: &CallerRequest,
    params: &GenerationRequest,
) -> Result<RunRequest, Fault> {
    let resolved = request.index.resolve(&request.spec, &params.model)?;
    let (name, class) = request.class()?;
    let adapter = resolved.adapter.as_ref().map_or("", |a| a.as_str());
    let fingerprint_parts = [
        request.spec.workspace.as_str().as_bytes(),
        resolved.model.as_str().as_bytes(),
        adapter.as_bytes(),
        params.prompt.as_bytes(),
        &params.max.to_le_bytes(),
    ];
    let output = app.admission().expected_output(&resolved.model, Tokens(u64::from(params.max)));
    let share =
        request.index.manifest.workspaces.get(&request.spec.workspace).map_or(1.0, |w| w.share);
    Ok(RunRequest {
        fingerprint: Fingerprint::of(&fingerprint_parts),
        caller: request.caller.clone(),
        workspace: Some(request.spec.workspace.clone()),
        share,
        class: name,
        arrived: request.arrived,
        max_tokens: params.max,
        routing: RoutingRequest {
            prompt: count_tokens(&params.prompt),
            blocks: prefix_blocks(&params.prompt),
            lengths: Default::default(),
            resumable: false,
            software: None,
            excluded: Default::default(),
            model: resolved.model,
            adapter: resolved.adapter,
            output,
            rank: class.rank(),
            class,
        },
        held: None,
        prompt: params.prompt.clone(),
        proxied: None,
        relayed: None,
    })
}

/// Collects all pieces of an answer into one response.
async fn collect_answer(
    shape: Shape,
    model: &str,
    prompt: Tokens,
    mut pieces: Pieces,
) -> Result<Response<Body>, Fault> {
    let mut text = String::new();
    loop {
        match pieces.next().await? {
            Piece::Token { text: token, .. } => text.push_str(&token),
            Piece::End { ticket, offset, reason } => {
                let usage = Usage {
                    prompt_tokens: prompt.0,
                    completion_tokens: offset,
                    total_tokens: prompt.0 + offset,
                };
                let answer = shape.completion(&ticket, model, text, reason.to_string(), usage);
                return Ok(json_response(200, &answer));
            }
            Piece::Head(..) | Piece::Bytes(_) | Piece::Done => {
                let text = "a generated answer contains a piece of a proxied answer";
                return Err(Fault::new(ErrorKind::BadAnswer, text));
            }
        }
    }
}

/// Returns an answer as a stream of server-sent events; an error that ends it early is its last
/// event.
pub fn event_stream(shape: Shape, model: String, pieces: Pieces) -> Response<Body> {
    let events = unfold(Some(pieces), move |pieces| {
        let model = model.clone();
        async move {
            let mut pieces = pieces?;
            let event: Bytes = match pieces.next().await {
                Err(fault) => return Some((error_event(&fault), None)),
                Ok(piece) => shape.encode_event(&model, &piece),
            };
            let rest = (!pieces.ended()).then_some(pieces);
            Some((event, rest))
        }
    });
    let mut response = Response::new(streamed(events.map(Ok::<_, io::Error>)));
    let headers = response.headers_mut();
    let kind = header::HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, kind);
    headers.insert(header::CACHE_CONTROL, header::HeaderValue::from_static("no-store"));
    response
}
