use {
    crate::{
        http::{call, request},
        ports::{InstanceList, ListChanges, ListError},
    },
    futures_util::{future::BoxFuture, FutureExt},
    hyper::Method,
    std::{net::SocketAddr, time::Duration},
};

/// HTTP client for the platform's instance list.
pub struct HttpList {
    address: SocketAddr,
    timeout: Duration,
}

impl HttpList {
    /// Creates a client for the list at `address`; `timeout` applies to each request.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }
}

impl InstanceList for HttpList {
    fn changes(&self, version: u64) -> BoxFuture<'_, Result<ListChanges, ListError>> {
        async move {
            let path = format!("/instances?since={version}");
            let request = request(Method::GET, self.address, &path, "");
            let response = call(self.address, request, self.timeout)
                .await
                .map_err(|e| ListError(e.to_string()))?;
            match response.status {
                200 => response.json().map_err(ListError),
                other => Err(ListError(format!("status {other}"))),
            }
        }
        .boxed()
    }
}
