use {
    crate::{
        http::{call, request},
        ports::{InstanceList, ListChanges, ListError},
    },
    futures_util::{future::BoxFuture, FutureExt},
    hyper::Method,
    std::{net::SocketAddr, time::Duration},
};

/// The instance list over HTTP.
pub struct HttpList {
    address: SocketAddr,
    limit: Duration,
}

impl HttpList {
    /// The list at `address`, with answers awaited for `limit`.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        Self { address, limit }
    }
}

impl InstanceList for HttpList {
    fn changes(&self, version: u64) -> BoxFuture<'_, Result<ListChanges, ListError>> {
        async move {
            let path = format!("/instances?since={version}");
            let request = request(Method::GET, self.address, &path, "");
            let answer = call(self.address, request, self.limit)
                .await
                .map_err(|e| ListError(e.to_string()))?;
            match answer.status {
                200 => answer.json().map_err(ListError),
                other => Err(ListError(format!("status {other}"))),
            }
        }
        .boxed()
    }
}
