//! Fake of the platform's rate-limited weight store.

use {
    crate::server::{json_response, text_response, BufferedRequest, Handler, LoopbackServer},
    hyper::{body::Incoming, Request, Response},
    lentil_core::ids::Millis,
    lentil_node::{adapters::BusyReply, http::Body, ports::Weights},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Fake weight store that grants reservations at a fixed byte rate.
pub struct FakeWeights {
    /// Rate at which reservations are granted, in bytes per second.
    bandwidth: f64,
    /// Time from which the next reservation is granted.
    free_at: Mutex<Instant>,
}

impl FakeWeights {
    /// Starts a store on a free port; `bandwidth` is in bytes per second.
    pub async fn start(bandwidth: f64) -> (Arc<Self>, Arc<LoopbackServer>) {
        let store = Arc::new(Self { bandwidth, free_at: Mutex::new(Instant::now()) });
        let server = LoopbackServer::start(store.clone()).await;
        (store, server)
    }
}

impl Handler for FakeWeights {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let request = BufferedRequest::read(request).await;
        let Some(weights) = request.json::<Weights>() else {
            return text_response(400, "the body is not a weights request");
        };
        let now = Instant::now();
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        if *free_at > now {
            let wait = Millis((*free_at - now).as_millis() as u64 + 1);
            return json_response(429, &BusyReply { wait });
        }
        *free_at = now + Duration::from_secs_f64(weights.size.0 as f64 / self.bandwidth);
        text_response(200, "reserved")
    }
}
