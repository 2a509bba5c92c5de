use {
    bytes::Bytes,
    futures_util::{Stream, StreamExt},
    http_body_util::{
        combinators::UnsyncBoxBody, BodyExt, Full, LengthLimitError, Limited, StreamBody,
    },
    hyper::body::{Body as HttpBody, Frame},
    std::{fmt, io},
};

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A body that is there as a whole.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body that is sent piece by piece.
pub fn streamed(pieces: impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static) -> Body {
    StreamBody::new(pieces.map(|p| p.map(Frame::data))).boxed_unsync()
}

/// Why a body could not be read.
#[derive(Debug)]
pub enum ReadError {
    /// It is larger than allowed.
    Large,
    /// The connection failed.
    Broken(String),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Large => f.write_str("body is too large"),
            Self::Broken(text) => write!(f, "body can't be read: {text}"),
        }
    }
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// [`ReadError`] if it is larger or the connection fails.
pub async fn read_all<B>(body: B, limit: usize) -> Result<Bytes, ReadError>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, limit).collect().await {
        Ok(all) => Ok(all.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(ReadError::Large),
        Err(e) => Err(ReadError::Broken(e.to_string())),
    }
}
