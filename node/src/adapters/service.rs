use {
    crate::{
        http::{read_all, Body, CallError, Connection},
        ports::{PlainService, ServiceError},
    },
    bytes::Bytes,
    futures_util::{future::BoxFuture, FutureExt},
    hyper::{Request, Response},
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
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
        time_limit: Duration,
    ) -> BoxFuture<'_, Result<Response<Bytes>, ServiceError>> {
        async move {
            let connection = Connection::open(address, CONNECT_TIMEOUT.min(time_limit))
                .await
                .map_err(|e| ServiceError::NotSent(e.to_string()))?;
            let exchange = async {
                let response = connection.send(request, time_limit).await.map_err(|e| match e {
                    CallError::Timeout(_) => ServiceError::Timeout,
                    other => ServiceError::Lost(other.to_string()),
                })?;
                let (head, body) = response.into_parts();
                let body = read_all(body, MAX_RESPONSE_BYTES)
                    .await
                    .map_err(|e| ServiceError::Lost(e.to_string()))?;
                Ok(Response::from_parts(head, body))
            };
            timeout(time_limit, exchange).await.unwrap_or(Err(ServiceError::Timeout))
        }
        .boxed()
    }
}
