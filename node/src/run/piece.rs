use {
    crate::ports::AnswerHead,
    bytes::Bytes,
    lentil_core::{
        error::{ErrorKind, Fault},
        stream::{Chunk, EndReason},
    },
    std::sync::Arc,
    tokio::sync::mpsc,
};

/// Pieces that wait for a slow caller at most.
pub(super) const QUEUE: usize = 64;

/// One piece of an answer on its way to the caller.
#[derive(Debug, Clone)]
pub enum Piece {
    /// A token.
    Token {
        /// The stream's id.
        ticket: Arc<str>,
        /// Tokens of the answer before it.
        offset: u64,
        /// Its text.
        text: String,
    },
    /// The end.
    End {
        /// The stream's id.
        ticket: Arc<str>,
        /// Tokens of the answer.
        offset: u64,
        /// Why it ended.
        reason: EndReason,
    },
    /// Head of an answer that is passed on; comes first.
    Head(AnswerHead),
    /// Bytes of an answer that is passed on: a whole event, or a whole body.
    Bytes(Bytes),
    /// An answer that is passed on is whole.
    Done,
}

impl Piece {
    /// A chunk of an engine as a piece of the stream with an id.
    pub(super) fn of(ticket: Arc<str>, chunk: Chunk) -> Self {
        let offset = chunk.offset;
        match chunk.end {
            Some(reason) => Self::End { ticket, offset, reason },
            None => Self::Token { ticket, offset, text: chunk.text },
        }
    }

    /// The stream's id; empty for what is passed on.
    pub fn ticket(&self) -> &str {
        match self {
            Self::Token { ticket, .. } | Self::End { ticket, .. } => ticket,
            Self::Head(_) | Self::Bytes(_) | Self::Done => "",
        }
    }
}

/// The pieces of one answer, in order.
pub struct Pieces {
    receiver: mpsc::Receiver<Result<Piece, Fault>>,
    held: Option<Piece>,
    ended: bool,
}

impl Pieces {
    pub(super) fn new(receiver: mpsc::Receiver<Result<Piece, Fault>>) -> Self {
        Self { receiver, held: None, ended: false }
    }

    /// The next piece.
    ///
    /// # Errors
    /// The fault that ended the answer.
    pub async fn next(&mut self) -> Result<Piece, Fault> {
        let piece = match self.held.take() {
            Some(piece) => piece,
            None => self.receiver.recv().await.unwrap_or_else(|| {
                Err(Fault::new(ErrorKind::TargetLost, "the run ended without an answer"))
            })?,
        };
        self.ended = matches!(piece, Piece::End { .. } | Piece::Done);
        Ok(piece)
    }

    /// Puts a piece back, to be the next.
    pub fn put_back(&mut self, piece: Piece) {
        self.held = Some(piece);
        self.ended = false;
    }

    /// Whether the last piece was taken.
    pub fn ended(&self) -> bool {
        self.ended
    }
}
