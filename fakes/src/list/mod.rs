//! Stand-in of the platform's lagging list of instances.

use {
    crate::{
        kv::Faults,
        server::{json, text, Asked, Handler, Host},
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

/// What goes wrong with the list.
#[derive(Debug, Clone, Default)]
pub struct ListFaults {
    /// It refuses every call.
    pub down: bool,
    /// Changes show after this time.
    pub lag: Duration,
}

/// List of live and leaving instances.
#[derive(Default)]
pub struct FakeList {
    entries: Mutex<Vec<(Instant, ListedInstance)>>,
    /// What goes wrong.
    pub faults: Faults<ListFaults>,
}

impl FakeList {
    /// Starts the list on a free port.
    pub async fn start() -> (Arc<Self>, Arc<Host>) {
        let list = Arc::new(Self::default());
        let host = Host::start(list.clone()).await;
        (list, host)
    }

    fn entries(&self) -> MutexGuard<'_, Vec<(Instant, ListedInstance)>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an instance, or a change to one.
    pub fn put(&self, listed: ListedInstance) {
        self.entries().push((Instant::now(), listed));
    }

    /// Changes the state of an instance.
    pub fn set_state(&self, id: &str, state: ListState) {
        let found = self.entries().iter().rev().find(|(_, l)| l.id == id).map(|(_, l)| l.clone());
        if let Some(listed) = found {
            self.put(ListedInstance { state, ..listed });
        }
    }

    /// Changes since a version; the version counts the changes that show.
    fn changes(&self, since: u64) -> ListChanges {
        let lag = self.faults.get().lag;
        let entries = self.entries();
        let shown = entries.iter().take_while(|(at, _)| at.elapsed() >= lag);
        let changed: Vec<ListedInstance> =
            shown.skip(since as usize).map(|(_, l)| l.clone()).collect();
        ListChanges { version: since + changed.len() as u64, changed }
    }
}

impl Handler for FakeList {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let asked = Asked::read(request).await;
        if self.faults.get().down {
            return text(503, "down");
        }
        json(200, &self.changes(asked.number("since")))
    }
}
