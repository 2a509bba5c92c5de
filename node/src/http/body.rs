use {
    bytes::Bytes,
    futures_util::{Stream, StreamExt},
    http_body_util::{
        combinators::UnsyncBoxBody, BodyExt, Full, LengthLimitError, Limited, StreamBody,
    },
    hyper::body::{Body as HttpBody, Frame},
    std::{fmt, io},
};

/// Body of a request or response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Creates a body from complete bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body that is sent in parts as the stream yields them.
pub fn streamed(parts: impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static) -> Body {
    StreamBody::new(parts.map(|p| p.map(Frame::data))).boxed_unsync()
}

/// An error while reading a body.
#[derive(Debug)]
pub enum ReadError {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection failed.
    Failed(String),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("body is too large"),
            Self::Failed(text) => write!(f, "body can't be read: {text}"),
        }
    }
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// Returns [`ReadError`] if the body is larger or the connection fails.
pub async fn read_all<B>(body: B, limit: usize) -> Result<Bytes, ReadError>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, limit).collect().await {
        Ok(all) => Ok(all.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(ReadError::TooLarge),
        Err(e) => Err(ReadError::Failed(e.to_string())),
    }
}
