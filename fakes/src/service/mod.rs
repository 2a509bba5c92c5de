//! Fake target of a plain service.

use {
    crate::{
        kv::InjectedFaults,
        server::{json_response, text_response, BufferedRequest, Handler, LoopbackServer},
    },
    hyper::{body::Incoming, Request, Response},
    lentil_node::http::Body,
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Faults injected into a target.
#[derive(Debug, Clone, Default)]
pub struct ServiceFaults {
    /// Time that each call takes.
    pub call_time: Duration,
    /// Number of next calls that run, but whose connection is closed without a response.
    pub lose_next: u32,
}

/// Counts how often each call has run, over all targets of a service.
#[derive(Debug, Default)]
pub struct Effects(Mutex<HashMap<String, u32>>);

impl Effects {
    /// Records a run of a call, and returns its number of runs so far.
    fn record(&self, call: &str) -> u32 {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(call.to_owned()).or_default();
        *count += 1;
        *count
    }

    /// Number of runs of each call, by the body of the call.
    pub fn run_counts(&self) -> HashMap<String, u32> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Fake target of a plain service. Each call has an effect that is identified by its body.
#[derive(Default)]
pub struct FakeService {
    effects: Arc<Effects>,
    /// Injected faults.
    pub faults: InjectedFaults<ServiceFaults>,
}

/// Response body of a target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceReply {
    /// Body of the call.
    pub done: String,
    /// Number of runs of the call, including this one.
    pub runs: u32,
}

impl FakeService {
    /// Starts a target on a free port.
    pub async fn start(effects: Arc<Effects>) -> (Arc<Self>, Arc<LoopbackServer>) {
        let target = Arc::new(Self { effects, faults: InjectedFaults::default() });
        let server = LoopbackServer::start(target.clone()).await;
        (target, server)
    }
}

impl Handler for FakeService {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let request = BufferedRequest::read(request).await;
        let call_time = self.faults.get().call_time;
        // The effect is recorded first, since a target that crashes during the call has run it.
        let done = String::from_utf8_lossy(&request.body).into_owned();
        let runs = self.effects.record(&done);
        sleep(call_time).await;
        let lost = self.faults.update(|f| {
            let lost = f.lose_next > 0;
            f.lose_next = f.lose_next.saturating_sub(1);
            lost
        });
        match lost {
            true => text_response(200, "").map(|_| crate::kv::broken_body()),
            false => json_response(200, &ServiceReply { done, runs }),
        }
    }
}
