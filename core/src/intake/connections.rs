use {
    super::{ActiveTime, ConnectionShare},
    crate::clock::Time,
    std::{collections::HashMap, fmt, time::Duration},
};

/// Bytes held for a connection: its task and the buffers of the HTTP codec.
const IDLE_BYTES: usize = 20 << 10;
/// Further bytes for a request in progress: its headers, its task and its connection to a target.
const WORK_BYTES: usize = 32 << 10;
/// Receive buffer of a connection, in which bytes after a request's head may wait.
pub const RECEIVE_BUFFER: usize = 64 << 10;
/// Further bytes for an answer that its caller does not read.
const BLOCKED_BYTES: usize = 32 << 10;
/// Time without reading an answer after which its connection yields to others.
const YIELDING_BLOCK: Duration = Duration::from_secs(2);

/// Number of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ConnectionState {
    /// Waits for a request.
    Idle,
    /// Part of a request's head has arrived.
    Head,
    /// A request is in progress.
    Work,
    /// A request is in progress, and more than its head has arrived.
    Receive,
    /// An answer is not read by its caller.
    Blocked,
}

impl ConnectionState {
    /// All states.
    pub const ALL: [Self; 5] = [Self::Idle, Self::Head, Self::Work, Self::Receive, Self::Blocked];

    /// Returns the bytes held in this state by a connection with heads of up to `head` bytes.
    fn bytes(self, head: usize) -> usize {
        IDLE_BYTES
            + match self {
                Self::Idle => 0,
                // The buffer grows by doubling.
                Self::Head => head + head / 2,
                Self::Work => WORK_BYTES,
                Self::Receive => WORK_BYTES + RECEIVE_BUFFER,
                Self::Blocked => WORK_BYTES + RECEIVE_BUFFER + BLOCKED_BYTES,
            }
    }
}

impl fmt::Display for ConnectionState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Work => "work",
            Self::Receive => "receive",
            Self::Blocked => "blocked",
        })
    }
}

/// Longest times that a connection may spend in a state, without pauses of the instance.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionTimes {
    /// Between two requests.
    pub idle: Duration,
    /// From the first byte of a head to its last.
    pub head: Duration,
    /// Without reading any part of an answer.
    pub blocked: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    state: ConnectionState,
    since: Time,
    /// Largest head.
    head: usize,
}

impl Entry {
    fn bytes(&self) -> usize {
        self.state.bytes(self.head)
    }
}

/// Connections to one address of an instance.
#[derive(Debug)]
pub struct ConnectionTable {
    share: ConnectionShare,
    clock: ActiveTime,
    last: u64,
    bytes: usize,
    entries: HashMap<ConnectionId, Entry>,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(share: ConnectionShare) -> Self {
        let (clock, entries) = Default::default();
        Self { share, clock, last: 0, bytes: 0, entries }
    }

    /// Adds a new connection, which is idle and may send heads of up to `head` bytes.
    pub fn open(&mut self, head: usize, now: Time) -> ConnectionId {
        self.last += 1;
        let id = ConnectionId(self.last);
        let since = self.clock.advance(now);
        let entry = Entry { state: ConnectionState::Idle, since, head };
        self.bytes += entry.bytes();
        self.entries.insert(id, entry);
        id
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.bytes -= entry.bytes();
        }
    }

    /// Records the state of a connection. A repeated state goes on since its beginning.
    pub fn enter(&mut self, id: ConnectionId, state: ConnectionState, now: Time) {
        let since = self.clock.advance(now);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.state != state {
            self.bytes -= entry.bytes();
            *entry = Entry { state, since, ..*entry };
            self.bytes += entry.bytes();
        }
    }

    /// Returns the number of connections in a state.
    pub fn count(&self, state: ConnectionState) -> usize {
        self.entries.values().filter(|e| e.state == state).count()
    }

    /// Returns whether a connection is in the table.
    pub fn contains(&self, id: ConnectionId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes held for all connections.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether the connections take more than their share.
    pub fn is_over(&self) -> bool {
        self.entries.len() > self.share.count || self.bytes > self.share.bytes
    }

    /// Returns the connection to close while the share is exceeded: the oldest unfinished head, then
    /// the one that has been idle longest, then the one whose answer has not been read for longest.
    /// Requests in progress are never closed.
    ///
    /// ```
    /// use lentil_core::{
    ///     clock::Time,
    ///     intake::{ConnectionShare, ConnectionState, ConnectionTable},
    /// };
    ///
    /// let share = ConnectionShare { count: 2, bytes: 1 << 20 };
    /// let mut table = ConnectionTable::new(share);
    /// let now = Time::from_millis(1);
    /// let [working, idle, head] = [(); 3].map(|()| table.open(16_384, now));
    /// table.enter(working, ConnectionState::Work, now);
    /// table.enter(head, ConnectionState::Head, now);
    /// assert!(table.is_over());
    /// assert_eq!(table.yielding(now), Some((head, ConnectionState::Head)));
    /// table.close(head);
    /// assert!(!table.is_over());
    /// ```
    pub fn yielding(&mut self, now: Time) -> Option<(ConnectionId, ConnectionState)> {
        let active = self.clock.advance(now);
        let rank = |e: &Entry| match e.state {
            ConnectionState::Head => Some(0),
            ConnectionState::Idle => Some(1),
            ConnectionState::Blocked if active - e.since >= YIELDING_BLOCK => Some(2),
            ConnectionState::Blocked | ConnectionState::Work | ConnectionState::Receive => None,
        };
        let ranked = self.entries.iter().filter_map(|(id, e)| Some((rank(e)?, e.since, *id)));
        let (_, _, id) = ranked.min()?;
        Some((id, self.entries[&id].state))
    }

    /// Returns the connections that have been in their state for too long.
    pub fn expired(
        &mut self,
        times: &ConnectionTimes,
        now: Time,
    ) -> Vec<(ConnectionId, ConnectionState)> {
        let active = self.clock.advance(now);
        let is_expired = |e: &Entry| {
            let limit = match e.state {
                ConnectionState::Idle => times.idle,
                ConnectionState::Head => times.head,
                ConnectionState::Blocked => times.blocked,
                ConnectionState::Work | ConnectionState::Receive => return false,
            };
            active - e.since >= limit
        };
        let expired = self.entries.iter().filter(|(_, e)| is_expired(e));
        expired.map(|(id, e)| (*id, e.state)).collect()
    }
}
