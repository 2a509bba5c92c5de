//! Fake of the platform's instance list, whose changes become visible with a lag.

use {
    crate::{
        kv::InjectedFaults,
        server::{json_response, text_response, BufferedRequest, Handler, LoopbackServer},
    },
    hyper::{body::Incoming, Request, Response},
    lentil_node::{
        http::Body,
        ports::{ListChanges, ListState, ListedInstance},
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Faults injected into the instance list.
#[derive(Debug, Clone, Default)]
pub struct ListFaults {
    /// Whether all calls are refused.
    pub down: bool,
    /// Delay after which a change becomes visible.
    pub lag: Duration,
}

/// Fake list of entry instances, engines and targets with their states.
#[derive(Default)]
pub struct FakeList {
    entries: Mutex<Vec<(Instant, ListedInstance)>>,
    /// Injected faults.
    pub faults: InjectedFaults<ListFaults>,
}

impl FakeList {
    /// Starts the list on a free port.
    pub async fn start() -> (Arc<Self>, Arc<LoopbackServer>) {
        let list = Arc::new(Self::default());
        let server = LoopbackServer::start(list.clone()).await;
        (list, server)
    }

    fn entries(&self) -> MutexGuard<'_, Vec<(Instant, ListedInstance)>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a new entry, or a change to an existing one.
    pub fn put(&self, listed: ListedInstance) {
        self.entries().push((Instant::now(), listed));
    }

    /// Changes the state of an entry; does nothing if the id is unknown.
    pub fn set_state(&self, id: &str, state: ListState) {
        let latest = self.entries().iter().rev().find(|(_, l)| l.id == id).map(|(_, l)| l.clone());
        if let Some(listed) = latest {
            self.put(ListedInstance { state, ..listed });
        }
    }

    /// The visible changes since a version, which is the number of changes already seen.
    fn changes(&self, since: u64) -> ListChanges {
        let lag = self.faults.get().lag;
        let entries = self.entries();
        let visible = entries.iter().take_while(|(at, _)| at.elapsed() >= lag);
        let changed: Vec<ListedInstance> =
            visible.skip(since as usize).map(|(_, l)| l.clone()).collect();
        ListChanges {
            version: since + changed.len() as u64,
            changed,
            removed: Vec::new(),
            complete: since == 0,
        }
    }
}

impl Handler for FakeList {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let request = BufferedRequest::read(request).await;
        if self.faults.get().down {
            return text_response(503, "the list is down");
        }
        json_response(200, &self.changes(request.query_number("since")))
    }
}
