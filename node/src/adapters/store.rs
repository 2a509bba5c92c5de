use {
    crate::{
        http::{call, json_request, request, BufferedResponse, CallError},
        ports::{ConfigStore, StoreEntry, StoreError},
    },
    futures_util::{future::BoxFuture, FutureExt},
    hyper::Method,
    lentil_core::ids::{LeaseId, Millis, Revision},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Request body of a compare-and-swap write.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SwapBody {
    /// New value of the key.
    pub value: String,
    /// Revision at which the key must be; 0 means that it must not exist.
    pub base: Revision,
    /// Lease to which the key is attached; the key is deleted when it expires.
    pub lease: Option<LeaseId>,
}

/// Response to a write or delete.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SwapReply {
    /// Revision of the write, or the key's current revision after a conflict.
    pub revision: Revision,
}

/// Request body for a new lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantBody {
    /// Time without renewal after which the lease expires.
    pub ttl: Millis,
}

/// Response with the identifier of a new lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantReply {
    /// Identifier of the lease.
    pub lease: LeaseId,
}

/// HTTP client for the key-value service.
pub struct HttpStore {
    address: SocketAddr,
    timeout: Duration,
}

impl HttpStore {
    /// Creates a client for the service at `address`; `timeout` applies to each request.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Sends a request and waits up to the timeout plus `extra` for the response.
    async fn send(
        &self,
        request: hyper::Request<crate::http::Body>,
        extra: Duration,
    ) -> Result<BufferedResponse, StoreError> {
        let response =
            call(self.address, request, self.timeout + extra).await.map_err(|e| match e {
                CallError::NotSent(..) | CallError::ConnectTimeout(_) => {
                    StoreError::Unavailable(e.to_string())
                }
                CallError::Lost(..) | CallError::Timeout(_) => StoreError::Unknown(e.to_string()),
            })?;
        match response.status {
            200 | 404 | 409 | 410 => Ok(response),
            // The service refuses a request with these without acting on it.
            429 | 503 => Err(StoreError::Unavailable(format!("status {}", response.status))),
            other => Err(StoreError::Unknown(format!("status {other}"))),
        }
    }
}

/// A response that can't be parsed leaves open whether a write was applied.
fn malformed(text: String) -> StoreError {
    StoreError::Unknown(text)
}

fn parse_entry(response: &BufferedResponse) -> Result<Option<StoreEntry>, StoreError> {
    match response.status {
        404 => Ok(None),
        _ => response.json().map(Some).map_err(malformed),
    }
}

fn check_lease(response: &BufferedResponse) -> Result<(), StoreError> {
    match response.status {
        200 => Ok(()),
        _ => Err(StoreError::NoLease),
    }
}

impl ConfigStore for HttpStore {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoreEntry>, StoreError>> {
        async move {
            let request = request(Method::GET, self.address, &format!("/kv/{key}"), "");
            parse_entry(&self.send(request, Duration::ZERO).await?)
        }
        .boxed()
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        value: String,
        base: Revision,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>> {
        async move {
            let body = SwapBody { value, base, lease };
            let path = format!("/kv/{key}");
            let request = json_request(Method::PUT, self.address, &path, &body);
            let response = self.send(request, Duration::ZERO).await?;
            if response.status == 410 {
                return Err(StoreError::NoLease);
            }
            let reply: SwapReply = response.json().map_err(malformed)?;
            match response.status {
                200 => Ok(reply.revision),
                _ => Err(StoreError::Conflict(reply.revision)),
            }
        }
        .boxed()
    }

    fn remove<'a>(&'a self, key: &'a str, base: Revision) -> BoxFuture<'a, Result<(), StoreError>> {
        async move {
            let path = format!("/kv/{key}?base={base}");
            let request = request(Method::DELETE, self.address, &path, "");
            let response = self.send(request, Duration::ZERO).await?;
            match response.status {
                200 | 404 => Ok(()),
                _ => {
                    let reply: SwapReply = response.json().map_err(malformed)?;
                    Err(StoreError::Conflict(reply.revision))
                }
            }
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<StoreEntry>, StoreError>> {
        async move {
            let path = format!("/watch/{key}?after={after}&wait={}", wait.as_millis());
            let request = request(Method::GET, self.address, &path, "");
            parse_entry(&self.send(request, wait).await?)
        }
        .boxed()
    }

    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        async move {
            let body = GrantBody { ttl: Millis(ttl.as_millis() as u64) };
            let request = json_request(Method::POST, self.address, "/leases", &body);
            let response = self.send(request, Duration::ZERO).await?;
            let reply: GrantReply = response.json().map_err(malformed)?;
            Ok(reply.lease)
        }
        .boxed()
    }

    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        async move {
            let request = request(Method::PUT, self.address, &format!("/leases/{lease}"), "");
            check_lease(&self.send(request, Duration::ZERO).await?)
        }
        .boxed()
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        async move {
            let request = request(Method::DELETE, self.address, &format!("/leases/{lease}"), "");
            check_lease(&self.send(request, Duration::ZERO).await?)
        }
        .boxed()
    }
}
