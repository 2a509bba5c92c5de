//! Stand-in of the platform's rate-limited weight store.

use {
    crate::server::{json, text, Asked, Handler, Host},
    hyper::{body::Incoming, Request, Response},
    lentil_core::ids::Millis,
    lentil_node::{adapters::BusyReply, http::Body, ports::Weights},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Weight store that gives out a rate of bytes.
pub struct FakeWeights {
    rate: f64,
    free: Mutex<Instant>,
}

impl FakeWeights {
    /// Starts a store of `rate` bytes per second on a free port.
    pub async fn start(rate: f64) -> (Arc<Self>, Arc<Host>) {
        let store = Arc::new(Self { rate, free: Mutex::new(Instant::now()) });
        let host = Host::start(store.clone()).await;
        (store, host)
    }
}

impl Handler for FakeWeights {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let asked = Asked::read(request).await;
        let Some(weights) = asked.json::<Weights>() else { return text(400, "no weights") };
        let now = Instant::now();
        let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
        if *free > now {
            let wait = Millis((*free - now).as_millis() as u64 + 1);
            return json(429, &BusyReply { wait });
        }
        *free = now + Duration::from_secs_f64(weights.size.0 as f64 / self.rate);
        text(200, "reserved")
    }
}
