use {
    crate::http::Body,
    bytes::Bytes,
    futures_util::future::BoxFuture,
    hyper::{Request, Response},
    std::{net::SocketAddr, time::Duration},
    thiserror::Error,
};

/// An error of a call to a plain service's target.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ServiceError {
    /// The connection could not be established: the call did not run.
    #[error("target could not be reached: {0}")]
    NotSent(String),
    /// The call was sent and the connection failed before the response: it may have run.
    #[error("target did not respond: {0}")]
    Lost(String),
    /// The call was sent and no response arrived in time: it may have run.
    #[error("target did not respond in time")]
    Timeout,
}

/// Client for the targets of plain services.
pub trait PlainService: Send + Sync {
    /// Sends a call and reads the whole response, within `timeout`.
    fn call(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Response<Bytes>, ServiceError>>;
}
