use {
    crate::ports::AnswerHead,
    bytes::Bytes,
    lentil_core::{
        error::{ErrorKind, Fault},
        ids::SoftwareVersion,
        stream::{Chunk, EndReason},
    },
    std::sync::Arc,
    tokio::sync::{mpsc, OwnedSemaphorePermit},
};

/// Pieces buffered for a slow caller before the run waits for it.
pub(super) const MAX_QUEUED_PIECES: usize = 16;

/// One piece of an answer on its way to the caller.
#[derive(Debug, Clone)]
pub enum Piece {
    /// A generated token.
    Token {
        /// Id with which the caller can resume the stream.
        ticket: Arc<str>,
        /// Number of tokens of the answer before this one.
        offset: u64,
        /// Text of the token.
        text: String,
    },
    /// The end of a generated answer.
    End {
        /// Id with which the caller can resume the stream.
        ticket: Arc<str>,
        /// Number of tokens of the whole answer.
        offset: u64,
        /// Why the generation ended.
        reason: EndReason,
    },
    /// Head of a proxied answer; always its first piece.
    Head(AnswerHead, AnswerSource),
    /// Bytes of a proxied answer: one complete event, or the complete body.
    Bytes(Bytes),
    /// The end of a proxied answer that arrived completely.
    Done,
}

/// What another instance has to know of an answer that it gets through this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerSource {
    /// Version of the software that answers.
    pub software: Option<SoftwareVersion>,
    /// Times that the request was sent to targets.
    pub sends: u32,
}

impl Piece {
    /// Converts an engine's chunk into a piece of the stream that `ticket` identifies.
    pub(super) fn from_chunk(ticket: Arc<str>, chunk: Chunk) -> Self {
        let offset = chunk.offset;
        match chunk.end {
            Some(reason) => Self::End { ticket, offset, reason },
            None => Self::Token { ticket, offset, text: chunk.text },
        }
    }

    /// Returns the stream's id; empty for proxied answers.
    pub fn ticket(&self) -> &str {
        match self {
            Self::Token { ticket, .. } | Self::End { ticket, .. } => ticket,
            Self::Head(..) | Self::Bytes(_) | Self::Done => "",
        }
    }
}

/// Receives the pieces of one answer, in order.
pub struct Pieces {
    receiver: mpsc::Receiver<Result<Piece, Fault>>,
    unread: Option<Piece>,
    ended: bool,
    /// Permit that is held until the answer has been forwarded.
    _permit: Option<OwnedSemaphorePermit>,
}

impl Pieces {
    pub(super) fn new(receiver: mpsc::Receiver<Result<Piece, Fault>>) -> Self {
        Self { receiver, unread: None, ended: false, _permit: None }
    }

    /// Holds a permit until these pieces are dropped.
    #[must_use]
    pub fn with_permit(self, permit: OwnedSemaphorePermit) -> Self {
        Self { _permit: Some(permit), ..self }
    }

    /// Waits for the next piece.
    ///
    /// # Errors
    /// The fault that ended the answer.
    pub async fn next(&mut self) -> Result<Piece, Fault> {
        let piece = match self.unread.take() {
            Some(piece) => piece,
            None => self.receiver.recv().await.unwrap_or_else(|| {
                Err(Fault::new(ErrorKind::TargetLost, "the run stopped before its answer ended"))
            })?,
        };
        self.ended = matches!(piece, Piece::End { .. } | Piece::Done);
        Ok(piece)
    }

    /// Puts a piece back, so that [`Pieces::next`] returns it again.
    pub fn put_back(&mut self, piece: Piece) {
        self.unread = Some(piece);
        self.ended = false;
    }

    /// Returns whether the answer's last piece has been returned.
    pub fn ended(&self) -> bool {
        self.ended
    }
}
