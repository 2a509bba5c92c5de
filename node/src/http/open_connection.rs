use {
    super::{observed_stream::StreamObserver, Connections},
    lentil_core::intake::{ConnectionId, ConnectionState},
    std::sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
};

/// An open connection, whose state the table follows.
pub(super) struct OpenConnection {
    pub(super) id: ConnectionId,
    connections: Arc<Connections>,
    /// Part of a head has arrived.
    reads_head: AtomicBool,
    /// A request is in progress.
    works: AtomicBool,
    /// More than the head of that request has arrived.
    receives: AtomicBool,
    /// The caller has to read before more can be written.
    blocked: AtomicBool,
}

impl OpenConnection {
    pub(super) fn new(id: ConnectionId, connections: Arc<Connections>) -> Self {
        let (reads_head, works, receives, blocked) = Default::default();
        Self { id, connections, reads_head, works, receives, blocked }
    }

    /// Records that a request begins; returns whether there is room for it.
    pub(super) fn begin_work(&self) -> bool {
        self.works.store(true, Ordering::Relaxed);
        self.reads_head.store(false, Ordering::Relaxed);
        self.receives.store(false, Ordering::Relaxed);
        self.update()
    }

    /// Records that a response was handed over to the connection.
    pub(super) fn end_work(&self) {
        self.works.store(false, Ordering::Relaxed);
        self.update();
    }

    fn update(&self) -> bool {
        let set = |flag: &AtomicBool| flag.load(Ordering::Relaxed);
        let new = match (set(&self.works), set(&self.receives), set(&self.reads_head)) {
            _ if set(&self.blocked) => ConnectionState::Blocked,
            (true, false, _) => ConnectionState::Work,
            (true, true, _) => ConnectionState::Receive,
            (false, _, true) => ConnectionState::Head,
            (false, _, false) => ConnectionState::Idle,
        };
        self.connections.enter(self.id, new)
    }
}

impl StreamObserver for Arc<OpenConnection> {
    fn record_read(&self, _: usize) {
        let works = self.works.load(Ordering::Relaxed);
        let flag = if works { &self.receives } else { &self.reads_head };
        if !flag.swap(true, Ordering::Relaxed) {
            self.update();
        }
    }

    fn record_write(&self, blocked: bool) {
        if self.blocked.swap(blocked, Ordering::Relaxed) != blocked {
            self.update();
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.remove(self.id);
    }
}
