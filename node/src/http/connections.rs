use {
    super::open_connection::OpenConnection,
    crate::app::Clock,
    lentil_core::{
        clock::Time,
        intake::{
            ConnectionId, ConnectionShare, ConnectionState, ConnectionTable, ConnectionTimes,
        },
    },
    std::{
        collections::HashMap,
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc, Mutex, MutexGuard, PoisonError,
        },
        time::Duration,
    },
    tokio::task::AbortHandle,
};

/// Delay of a request's bytes in the network that does not count as the caller's.
const NETWORK_DELAY: Duration = Duration::from_secs(2);
/// Time without reading any part of an answer after which its connection is closed.
const MAX_BLOCK: Duration = Duration::from_secs(30);
/// Bytes of a head beyond those that its limit counts, such as the request line.
const HEAD_SLACK: usize = 4 << 10;
/// Least buffer of a connection that the HTTP codec takes.
const MIN_BUFFER: usize = 8 << 10;

/// Limits on the head of a request and on the time before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadLimits {
    /// Maximum size, in bytes.
    pub size: usize,
    /// Maximum time from its first byte to its last.
    pub time: Duration,
    /// Maximum time between two requests.
    pub idle: Duration,
}

impl Default for HeadLimits {
    fn default() -> Self {
        // Callers close unused connections in less than a minute.
        Self { size: 64 << 10, time: Duration::from_secs(10), idle: Duration::from_secs(60) }
    }
}

/// Supplies the limits that are in force.
pub trait HeadLimitSource: Send + Sync {
    /// Returns the current limits.
    fn head_limits(&self) -> HeadLimits;
}

impl HeadLimitSource for HeadLimits {
    fn head_limits(&self) -> HeadLimits {
        *self
    }
}

/// Extension of a request beyond the limit on what connections may hold; it is to be refused.
#[derive(Debug, Clone, Copy)]
pub struct OverCapacity;

/// Use of the connections to one address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Number of connections in each state, in the order of [`ConnectionState::ALL`].
    pub counts: [usize; 5],
    /// Bytes held for them.
    pub bytes: usize,
    /// Most bytes that they may hold.
    pub max_bytes: usize,
    /// Connections closed since the start to make room, by their state.
    pub yielded: [u64; 5],
    /// Connections closed since the start because they took too long, by their state.
    pub expired: [u64; 5],
}

/// Connections to one address, with the limits on them.
pub struct Connections {
    state: Mutex<State>,
    source: Arc<dyn HeadLimitSource>,
    share: ConnectionShare,
    clock: Clock,
    /// Time of the latest check or new connection. It is precise enough for the limits, and saves
    /// reading the clock several times a request.
    now: AtomicU64,
    /// Name of the address in log lines and metrics.
    name: &'static str,
}

struct State {
    table: ConnectionTable,
    tasks: HashMap<ConnectionId, AbortHandle>,
    yielded: [u64; 5],
    expired: [u64; 5],
    /// Connections closed since the last log line.
    unlogged: u64,
}

fn index(state: ConnectionState) -> usize {
    ConnectionState::ALL.iter().position(|s| *s == state).unwrap_or(0)
}

impl Connections {
    /// Creates the limits of one address.
    pub fn new(
        name: &'static str,
        share: ConnectionShare,
        source: Arc<dyn HeadLimitSource>,
        clock: Clock,
    ) -> Arc<Self> {
        let state = State {
            table: ConnectionTable::new(share),
            tasks: HashMap::new(),
            yielded: [0; 5],
            expired: [0; 5],
            unlogged: 0,
        };
        Arc::new(Self {
            state: Mutex::new(state),
            source,
            share,
            clock,
            now: AtomicU64::new(0),
            name,
        })
    }

    /// Creates the limits of an address that only trusted clients know, such as that of a fake.
    pub fn unlimited() -> Arc<Self> {
        let share = ConnectionShare { count: usize::MAX, bytes: usize::MAX };
        Self::new("trusted", share, Arc::new(HeadLimits::default()), Clock::start())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the clock for this and the following decisions.
    fn update_time(&self) -> Time {
        let now = self.clock.now();
        self.now.store(now.as_micros(), Ordering::Relaxed);
        now
    }

    fn recent_time(&self) -> Time {
        Time::from_micros(self.now.load(Ordering::Relaxed))
    }

    /// Returns the name of the address.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Returns the current use.
    pub fn usage(&self) -> ConnectionUse {
        let state = self.state();
        ConnectionUse {
            counts: ConnectionState::ALL.map(|s| state.table.count(s)),
            bytes: state.table.bytes(),
            max_bytes: self.share.bytes,
            yielded: state.yielded,
            expired: state.expired,
        }
    }

    /// Returns the buffer size of a connection, and thus the largest head on it.
    pub(super) fn buffer_size(&self) -> usize {
        (self.source.head_limits().size + HEAD_SLACK).max(MIN_BUFFER)
    }

    /// Adds a connection.
    pub(super) fn open(self: &Arc<Self>) -> Arc<OpenConnection> {
        let head = self.buffer_size();
        let now = self.update_time();
        let id = self.state().table.open(head, now);
        Arc::new(OpenConnection::new(id, self.clone()))
    }

    /// Records the state of a connection; returns whether all are within their share.
    pub(super) fn enter(&self, id: ConnectionId, new: ConnectionState) -> bool {
        let mut state = self.state();
        state.table.enter(id, new, self.recent_time());
        self.relieve(&mut state)
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&self, id: ConnectionId) {
        let mut state = self.state();
        state.table.close(id);
        state.tasks.remove(&id);
    }

    /// Records the task of a new connection, and closes other connections if there are too many.
    pub(super) fn admit(&self, id: ConnectionId, task: AbortHandle) {
        let mut state = self.state();
        if !state.table.contains(id) {
            // It had to yield before its task was known.
            return task.abort();
        }
        state.tasks.insert(id, task);
        self.relieve(&mut state);
    }

    /// Closes connections until the rest are within their share; returns whether they are.
    fn relieve(&self, state: &mut State) -> bool {
        let now = self.recent_time();
        while state.table.is_over() {
            let Some((id, reason)) = state.table.yielding(now) else { return false };
            state.yielded[index(reason)] += 1;
            state.close(id);
        }
        true
    }

    /// Closes connections that take too long.
    pub(super) fn close_expired(&self) {
        let limits = self.source.head_limits();
        let times = ConnectionTimes {
            idle: limits.idle + NETWORK_DELAY,
            head: limits.time + NETWORK_DELAY,
            blocked: MAX_BLOCK,
        };
        let now = self.update_time();
        let mut state = self.state();
        for (id, reason) in state.table.expired(&times, now) {
            state.expired[index(reason)] += 1;
            // Callers let idle connections expire as a matter of course.
            state.unlogged += u64::from(reason != ConnectionState::Idle);
            state.close(id);
        }
        let closed = std::mem::take(&mut state.unlogged);
        if closed > 0 {
            let (open, bytes) = (state.table.len(), state.table.bytes());
            drop(state);
            log::warn!("connections: {} closed={closed} open={open} bytes={bytes}", self.name);
        }
    }
}

impl State {
    fn close(&mut self, id: ConnectionId) {
        self.table.close(id);
        self.unlogged += 1;
        if let Some(task) = self.tasks.remove(&id) {
            task.abort();
        }
    }
}
