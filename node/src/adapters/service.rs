use {
    crate::{
        http::{read_all, Body, CallError, Connection},
        ports::{PlainService, ServiceError},
    },
    bytes::Bytes,
    futures_util::{future::BoxFuture, FutureExt},
    hyper::{Request, Response},
    std::{net::SocketAddr, time::Duration},
};

/// Maximum time to connect to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a target's response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// HTTP client for plain services.
pub struct HttpService;

impl PlainService for HttpService {
    fn call(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Response<Bytes>, ServiceError>> {
        async move {
            let connection = Connection::open(address, CONNECT_TIMEOUT.min(timeout))
                .await
                .map_err(|e| ServiceError::NotSent(e.to_string()))?;
            let exchange = async {
                let response = connection.send(request, timeout).await.map_err(|e| match e {
                    CallError::Timeout(_) => ServiceError::Timeout,
                    other => ServiceError::Lost(other.to_string()),
                })?;
                let (head, body) = response.into_parts();
                let body = read_all(body, MAX_RESPONSE_BYTES)
                    .await
                    .map_err(|e| ServiceError::Lost(e.to_string()))?;
                Ok(Response::from_parts(head, body))
            };
            tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(ServiceError::Timeout))
        }
        .boxed()
    }
}
