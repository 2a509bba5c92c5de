use {
    super::generation_request::GenerationRequest,
    crate::{
        app::App,
        front::{error_event, json, Call, Shape, Usage},
        http::{streamed, Body},
        run::{self, Piece, Pieces, Request},
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

/// Runs a generation and answers it whole or streamed.
///
/// # Errors
/// Any kind of the table, before the first token.
pub async fn generate(app: Arc<App>, call: Call, shape: Shape) -> Result<Response<Body>, Fault> {
    let params = GenerationRequest::parse(&call.body, shape)?;
    let request = request(&app, &call, &params)?;
    let (prompt, model) = (request.work.prompt, params.model.clone());
    let mut pieces = run::start(app, request);
    // Nothing is answered before the first token, so that a refusal is a refusal.
    let first = pieces.next().await?;
    pieces.put_back(first);
    if params.stream {
        return Ok(event_stream(shape, model, pieces));
    }
    whole(shape, &model, prompt, pieces).await
}

fn request(app: &App, call: &Call, params: &GenerationRequest) -> Result<Request, Fault> {
    let resolved = call.index.resolve(&call.spec, &params.model)?;
    let (name, class) = call.class()?;
    let adapter = resolved.adapter.as_ref().map_or("", |a| a.as_str());
    let parts = [
        resolved.model.as_str().as_bytes(),
        adapter.as_bytes(),
        params.prompt.as_bytes(),
        &params.max.to_le_bytes(),
    ];
    let output = app.admission().expected_output(&resolved.model, Tokens(u64::from(params.max)));
    let share = call.index.manifest.workspaces.get(&call.spec.workspace).map_or(1.0, |w| w.share);
    Ok(Request {
        fingerprint: Fingerprint::of(&parts),
        caller: call.caller.clone(),
        workspace: call.spec.workspace.clone(),
        share,
        class: name,
        arrived: call.arrived,
        max: params.max,
        work: RoutingRequest {
            prompt: count_tokens(&params.prompt),
            blocks: prefix_blocks(&params.prompt),
            lengths: Default::default(),
            excluded: Default::default(),
            model: resolved.model,
            adapter: resolved.adapter,
            output,
            rank: class.rank(),
            class,
        },
        prompt: params.prompt.clone(),
        proxied: None,
    })
}

async fn whole(
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
                let answer = shape.whole(&ticket, model, text, reason.to_string(), usage);
                return Ok(json(200, &answer));
            }
            Piece::Head(_) | Piece::Bytes(_) | Piece::Done => {
                let text = "a generated answer has a piece that is passed on";
                return Err(Fault::new(ErrorKind::BadAnswer, text));
            }
        }
    }
}

/// An answer as server-sent events; a fault in its midst is its last event.
pub fn event_stream(shape: Shape, model: String, pieces: Pieces) -> Response<Body> {
    let events = unfold(Some(pieces), move |pieces| {
        let model = model.clone();
        async move {
            let mut pieces = pieces?;
            let event: Bytes = match pieces.next().await {
                Err(fault) => return Some((error_event(&fault), None)),
                Ok(piece) => shape.event(&model, &piece),
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
