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

/// Body of a write.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SwapBody {
    /// The new value.
    pub value: String,
    /// Revision that the key must be at; zero if it must not exist.
    pub base: Revision,
    /// Lease that the key is to go with.
    pub lease: Option<LeaseId>,
}

/// Answer to a write, with the revision after it or the one that was in its way.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SwapReply {
    /// The revision.
    pub revision: Revision,
}

/// Asks for a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantBody {
    /// Its length.
    pub ttl: Millis,
}

/// Names a lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantReply {
    /// The lease.
    pub lease: LeaseId,
}

/// The key-value service over HTTP.
pub struct HttpStore {
    address: SocketAddr,
    limit: Duration,
}

impl HttpStore {
    /// The service at `address`, with answers awaited for `limit`.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        Self { address, limit }
    }

    async fn ask(
        &self,
        request: hyper::Request<crate::http::Body>,
        extra: Duration,
    ) -> Result<BufferedResponse, StoreError> {
        let answer =
            call(self.address, request, self.limit + extra).await.map_err(|e| match e {
                CallError::NotSent(..) => StoreError::Unavailable(e.to_string()),
                CallError::Lost(..) | CallError::Timeout(_) => StoreError::Unknown(e.to_string()),
            })?;
        match answer.status {
            200 | 404 | 409 | 410 => Ok(answer),
            // The service refuses without doing anything.
            429 | 503 => Err(StoreError::Unavailable(format!("status {}", answer.status))),
            other => Err(StoreError::Unknown(format!("status {other}"))),
        }
    }
}

fn malformed(text: String) -> StoreError {
    StoreError::Unknown(text)
}

fn entry(answer: &BufferedResponse) -> Result<Option<StoreEntry>, StoreError> {
    match answer.status {
        404 => Ok(None),
        _ => answer.json().map(Some).map_err(malformed),
    }
}

fn lease_done(answer: &BufferedResponse) -> Result<(), StoreError> {
    match answer.status {
        200 => Ok(()),
        _ => Err(StoreError::NoLease),
    }
}

impl ConfigStore for HttpStore {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoreEntry>, StoreError>> {
        async move {
            let request = request(Method::GET, self.address, &format!("/kv/{key}"), "");
            entry(&self.ask(request, Duration::ZERO).await?)
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
            let answer = self.ask(request, Duration::ZERO).await?;
            if answer.status == 410 {
                return Err(StoreError::NoLease);
            }
            let reply: SwapReply = answer.json().map_err(malformed)?;
            match answer.status {
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
            let answer = self.ask(request, Duration::ZERO).await?;
            match answer.status {
                200 | 404 => Ok(()),
                _ => {
                    let reply: SwapReply = answer.json().map_err(malformed)?;
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
            entry(&self.ask(request, wait).await?)
        }
        .boxed()
    }

    fn grant(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        async move {
            let body = GrantBody { ttl: Millis(ttl.as_millis() as u64) };
            let request = json_request(Method::POST, self.address, "/leases", &body);
            let answer = self.ask(request, Duration::ZERO).await?;
            let reply: GrantReply = answer.json().map_err(malformed)?;
            Ok(reply.lease)
        }
        .boxed()
    }

    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        async move {
            let request = request(Method::PUT, self.address, &format!("/leases/{lease}"), "");
            lease_done(&self.ask(request, Duration::ZERO).await?)
        }
        .boxed()
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        async move {
            let request = request(Method::DELETE, self.address, &format!("/leases/{lease}"), "");
            lease_done(&self.ask(request, Duration::ZERO).await?)
        }
        .boxed()
    }
}
