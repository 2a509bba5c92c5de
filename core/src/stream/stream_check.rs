use {
    crate::ids::RunId,
    serde::{Deserialize, Serialize},
    std::fmt,
    thiserror::Error,
};

/// Part of an engine's streamed answer: one token, or the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Run that produced the chunk.
    pub run: RunId,
    /// Number of tokens of the answer before this chunk.
    pub offset: u64,
    /// Text of the token; empty in the last chunk.
    pub text: String,
    /// Reason why the answer ends; set only in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<EndReason>,
}

/// Reason why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndReason {
    /// The model ended the answer.
    Stop,
    /// The answer reached the limit of output tokens.
    Length,
}

impl fmt::Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stop => "stop",
            Self::Length => "length",
        })
    }
}

/// Reason why a chunk is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChunkError {
    /// The chunk belongs to another run.
    #[error("chunk of run {found} on the stream of run {run}")]
    WrongRun {
        /// Run of the stream.
        run: RunId,
        /// Run named in the chunk.
        found: RunId,
    },
    /// The chunk repeats an earlier one, or chunks before it are missing.
    #[error("chunk at offset {found}, expected {next}")]
    Offset {
        /// Offset that was expected.
        next: u64,
        /// Offset of the chunk.
        found: u64,
    },
    /// The answer ended with an earlier chunk.
    #[error("chunk after the end of the answer")]
    Ended,
}

/// Validates the chunks of one run: accepts each chunk once and in order.
#[derive(Debug, Clone)]
pub struct StreamCheck {
    run: RunId,
    next: u64,
    ended: bool,
}

impl StreamCheck {
    /// Creates a check of the chunks of `run`, starting at offset `next`.
    pub fn new(run: RunId, next: u64) -> Self {
        Self { run, next, ended: false }
    }

    /// Returns the offset expected of the next chunk.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns true once the last chunk was accepted.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Accepts the next chunk of the run.
    ///
    /// # Errors
    /// [`ChunkError`] if the chunk is refused; the check is then unchanged.
    pub fn accept(&mut self, chunk: &Chunk) -> Result<(), ChunkError> {
        if chunk.run != self.run {
            return Err(ChunkError::WrongRun { run: self.run.clone(), found: chunk.run.clone() });
        }
        if self.ended {
            return Err(ChunkError::Ended);
        }
        if chunk.offset != self.next {
            return Err(ChunkError::Offset { next: self.next, found: chunk.offset });
        }
        if chunk.end.is_some() {
            self.ended = true;
        } else {
            self.next += 1;
        }
        Ok(())
    }
}
