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

/// Longest wait for a connection to a target.
const CONNECT: Duration = Duration::from_secs(1);
/// Largest answer of a target, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Plain services over HTTP.
pub struct HttpService;

impl PlainService for HttpService {
    fn call(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        limit: Duration,
    ) -> BoxFuture<'_, Result<Response<Bytes>, ServiceError>> {
        async move {
            let connection = Connection::open(address, CONNECT.min(limit))
                .await
                .map_err(|e| ServiceError::NotSent(e.to_string()))?;
            let whole = async {
                let answer = connection.send(request, limit).await.map_err(|e| match e {
                    CallError::Timeout(_) => ServiceError::Timeout,
                    other => ServiceError::Lost(other.to_string()),
                })?;
                let (head, body) = answer.into_parts();
                let body = read_all(body, MAX_ANSWER)
                    .await
                    .map_err(|e| ServiceError::Lost(e.to_string()))?;
                Ok(Response::from_parts(head, body))
            };
            timeout(limit, whole).await.unwrap_or(Err(ServiceError::Timeout))
        }
        .boxed()
    }
}
