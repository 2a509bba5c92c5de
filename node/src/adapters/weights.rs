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

/// Answer of the weight store when its rate is used up.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BusyReply {
    /// Time until the rate allows the load.
    pub wait: Millis,
}

/// The weight store over HTTP.
pub struct HttpWeights {
    address: SocketAddr,
    limit: Duration,
}

impl HttpWeights {
    /// The store at `address`, with answers awaited for `limit`.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        Self { address, limit }
    }
}

impl WeightStore for HttpWeights {
    fn reserve<'a>(&'a self, weights: &'a Weights) -> BoxFuture<'a, Result<(), WeightError>> {
        async move {
            let unavailable = WeightError::Unavailable;
            let request = json_request(Method::POST, self.address, "/reservations", weights);
            let answer = call(self.address, request, self.limit)
                .await
                .map_err(|e| unavailable(e.to_string()))?;
            match answer.status {
                200 => Ok(()),
                429 => {
                    let reply: BusyReply = answer.json().map_err(unavailable)?;
                    Err(WeightError::Busy(reply.wait.duration()))
                }
                other => Err(unavailable(format!("status {other}"))),
            }
        }
        .boxed()
    }
}
