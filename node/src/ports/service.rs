use {
    crate::http::Body,
    bytes::Bytes,
    futures_util::future::BoxFuture,
    hyper::{Request, Response},
    std::{net::SocketAddr, time::Duration},
    thiserror::Error,
};

/// Why a plain service's target gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ServiceError {
    /// No connection was made: the call was not run.
    #[error("target was not reached: {0}")]
    NotSent(String),
    /// The call was sent and its answer did not come: it may have run.
    #[error("target gave no answer: {0}")]
    Lost(String),
    /// The call was sent and its answer did not come in time: it may have run.
    #[error("target gave no answer in time")]
    Timeout,
}

/// A target of a plain service.
pub trait PlainService: Send + Sync {
    /// Sends one call and reads the whole answer.
    fn call(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        limit: Duration,
    ) -> BoxFuture<'_, Result<Response<Bytes>, ServiceError>>;
}
