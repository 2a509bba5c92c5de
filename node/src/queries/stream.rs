use {
    crate::{
        app::App,
        commands::event_stream,
        front::{CallerRequest, Shape},
        http::Body,
        run,
    },
    hyper::Response,
    lentil_core::{
        error::{ErrorKind, Fault},
        stream::Ticket,
    },
    std::sync::Arc,
};

/// Streams the rest of an answer that began on another connection, perhaps to another instance.
/// `sealed` is the sealed [`Ticket`] that identifies the stream.
///
/// # Errors
/// [`ErrorKind::StreamGone`] both for a stream that no longer exists and for one of another caller,
/// so that a caller learns nothing about the streams of others.
pub async fn resume_stream(
    app: Arc<App>,
    request: CallerRequest,
    sealed: &str,
) -> Result<Response<Body>, Fault> {
    let gone = || Fault::new(ErrorKind::StreamGone, "the stream can't be resumed");
    let ticket = Ticket::open(sealed, app.settings.mesh.key.as_bytes()).map_err(|_| gone())?;
    if ticket.caller != request.caller {
        return Err(gone());
    }
    let last_event = request.header("last-event-id").and_then(|id| id.rsplit(':').next());
    let from: u64 = match last_event {
        None => 0,
        Some(digits) => digits.parse().map_err(|_| {
            Fault::new(ErrorKind::BadRequest, "the Last-Event-ID header does not end in an offset")
        })?,
    };
    let shape = match request.header("lentil-shape") {
        Some("text") => Shape::Text,
        _ => Shape::Chat,
    };
    let pieces = run::resume(app, ticket, from).await?;
    Ok(event_stream(shape, String::new(), pieces))
}
