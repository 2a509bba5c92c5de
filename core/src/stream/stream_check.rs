use {
    crate::ids::RunId,
    serde::{Deserialize, Serialize},
    std::fmt,
    thiserror::Error,
};

/// One piece of an engine's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The run that it belongs to.
    pub run: RunId,
    /// Number of tokens of the answer before it.
    pub offset: u64,
    /// Text of the token; empty in the last chunk.
    pub text: String,
    /// Why the answer ends here, in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<EndReason>,
}

/// Why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndReason {
    /// The model ended it.
    Stop,
    /// The limit of output tokens was reached.
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

/// Why a chunk may not be passed on.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChunkError {
    /// It belongs to another run.
    #[error("chunk of run {found} on the stream of run {run}")]
    Foreign {
        /// The stream's run.
        run: RunId,
        /// The chunk's run.
        found: RunId,
    },
    /// It has been passed on already, or some before it are missing.
    #[error("chunk at offset {found}, expected {next}")]
    Offset {
        /// The offset that comes next.
        next: u64,
        /// The chunk's offset.
        found: u64,
    },
    /// The answer has ended before it.
    #[error("chunk after the end")]
    Ended,
}

/// Lets the chunks of one run pass, each once and in order.
#[derive(Debug, Clone)]
pub struct StreamCheck {
    run: RunId,
    next: u64,
    ended: bool,
}

impl StreamCheck {
    /// A check of the stream of `run` from `next` on.
    pub fn new(run: RunId, next: u64) -> Self {
        Self { run, next, ended: false }
    }

    /// The offset that comes next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether the last chunk has passed.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Lets a chunk pass or says why it may not.
    ///
    /// # Errors
    /// [`ChunkError`]; the check is unchanged then.
    pub fn accept(&mut self, chunk: &Chunk) -> Result<(), ChunkError> {
        if chunk.run != self.run {
            return Err(ChunkError::Foreign { run: self.run.clone(), found: chunk.run.clone() });
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
