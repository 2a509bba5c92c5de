//! Stand-in of a plain service's target.

use {
    crate::{
        kv::Faults,
        server::{json, text, Asked, Handler, Host},
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

/// What goes wrong with a target.
#[derive(Debug, Clone, Default)]
pub struct ServiceFaults {
    /// It works for this long on each call.
    pub work: Duration,
    /// Of so many calls to come, it runs them and closes the connection without an answer.
    pub lose: u32,
}

/// What runs of plain calls have done, over all targets of a service.
#[derive(Debug, Default)]
pub struct Effects(Mutex<HashMap<String, u32>>);

impl Effects {
    fn run(&self, what: &str) -> u32 {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(what.to_owned()).or_default();
        *count += 1;
        *count
    }

    /// How often each call has run.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Target of a plain service: each call has an effect named by its body.
#[derive(Default)]
pub struct FakeService {
    effects: Arc<Effects>,
    /// What goes wrong.
    pub faults: Faults<ServiceFaults>,
}

/// Answer of a target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceReply {
    /// What was done.
    pub done: String,
    /// How often it has been done, this time included.
    pub runs: u32,
}

impl FakeService {
    /// Starts a target on a free port.
    pub async fn start(effects: Arc<Effects>) -> (Arc<Self>, Arc<Host>) {
        let target = Arc::new(Self { effects, faults: Faults::default() });
        let host = Host::start(target.clone()).await;
        (target, host)
    }
}

impl Handler for FakeService {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let asked = Asked::read(request).await;
        let work = self.faults.get().work;
        // The effect comes first: a target that dies while it works has run the call.
        let done = String::from_utf8_lossy(&asked.body).into_owned();
        let runs = self.effects.run(&done);
        sleep(work).await;
        let lost = self.faults.set(|f| {
            let lost = f.lose > 0;
            f.lose = f.lose.saturating_sub(1);
            lost
        });
        match lost {
            true => text(200, "").map(|_| crate::kv::broken_body()),
            false => json(200, &ServiceReply { done, runs }),
        }
    }
}
