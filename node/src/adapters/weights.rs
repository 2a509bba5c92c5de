use {
    crate::{
        http::{call, json_request},
        ports::{WeightError, WeightStore, Weights},
    },
    futures_util::{future::BoxFuture, FutureExt},
    hyper::Method,
    lentil_core::ids::Millis,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Response of the weight store when its transfer rate is used up.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BusyReply {
    /// Time until the rate allows the load.
    pub wait: Millis,
}

/// HTTP client for the weight store.
pub struct HttpWeights {
    address: SocketAddr,
    timeout: Duration,
}

impl HttpWeights {
    /// Creates a client for the store at `address`; `timeout` applies to each request.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }
}

impl WeightStore for HttpWeights {
    fn reserve<'a>(&'a self, weights: &'a Weights) -> BoxFuture<'a, Result<(), WeightError>> {
        async move {
            let unavailable = WeightError::Unavailable;
            let request = json_request(Method::POST, self.address, "/reservations", weights);
            let response = call(self.address, request, self.timeout)
                .await
                .map_err(|e| unavailable(e.to_string()))?;
            match response.status {
                200 => Ok(()),
                429 => {
                    let reply: BusyReply = response.json().map_err(unavailable)?;
                    Err(WeightError::Busy(reply.wait.duration()))
                }
                other => Err(unavailable(format!("status {other}"))),
            }
        }
        .boxed()
    }
}
