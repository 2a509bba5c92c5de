use {
    super::{piece::MAX_QUEUED_PIECES, Piece, Pieces},
    crate::{
        app::App,
        ports::{ChunkStream, EngineError},
    },
    futures_util::StreamExt,
    lentil_core::{
        error::{ErrorKind, Fault},
        stream::{StreamCheck, Ticket},
    },
    std::sync::Arc,
    tokio::sync::mpsc,
};

/// Streams the rest of a run from token `from` of the whole answer.
///
/// # Errors
/// [`ErrorKind::StreamGone`] if the engine is unknown or no longer has the run, or if `from` lies
/// before the part of the answer that it generated.
pub async fn resume(app: Arc<App>, ticket: Ticket, from: u64) -> Result<Pieces, Fault> {
    let gone = |e: EngineError| {
        Fault::new(ErrorKind::StreamGone, format!("the stream can't be resumed: {e}"))
    };
    if from < ticket.base {
        return Err(gone(EngineError::Refused("the answer began on another engine".into())));
    }
    let address = app.fleet().engine(&ticket.engine).map(|e| e.address);
    let address =
        address.ok_or_else(|| gone(EngineError::Refused("the engine is unknown".into())))?;
    let chunks = app.ports.engines.resume(address, &ticket.run, from).await.map_err(gone)?;
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_PIECES);
    let id = ticket.seal(app.settings.mesh.key.as_bytes()).into();
    let check = StreamCheck::new(ticket.run, from);
    tokio::spawn(forward(chunks, check, id, sender));
    Ok(Pieces::new(receiver))
}

async fn forward(
    mut chunks: ChunkStream,
    mut check: StreamCheck,
    ticket: Arc<str>,
    sender: mpsc::Sender<Result<Piece, Fault>>,
) {
    while let Some(next) = chunks.next().await {
        let piece = match next {
            Err(e) => Err(Fault::new(ErrorKind::TargetLost, e.to_string())),
            Ok(chunk) => match check.accept(&chunk) {
                Err(e) => Err(Fault::new(ErrorKind::BadAnswer, e.to_string())),
                Ok(()) => Ok(Piece::from_chunk(ticket.clone(), chunk)),
            },
        };
        let failed = piece.is_err();
        if sender.send(piece).await.is_err() || failed || check.ended() {
            return;
        }
    }
}
