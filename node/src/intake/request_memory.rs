use {
    super::{
        buffer::{Buffer, HeldMemory},
        collector::{Arrival, Collector},
        IntakeError, RequestBody,
    },
    crate::app::Clock,
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Body as HttpBody,
    lentil_core::intake::{ActiveTime, ArrivalId, Arrivals, BodyBudget, IntakeShares, SMALL_BODY},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{oneshot, Notify},
        task::yield_now,
        time::timeout,
    },
};

/// Size of the buffers of large bodies. They are equal and reused, so that memory is not fragmented.
pub(super) const SEGMENT: usize = SMALL_BODY;
/// Most bodies that are given up for one buffer.
const MAX_EVICTIONS: usize = 8;
/// Time within which a body that is given up frees its memory.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Frames after which the reader of a body lets other tasks run.
const FRAMES_PER_TURN: usize = 64;

/// Memory for the bodies of all requests of an instance. Memory is taken as bytes arrive and is free
/// again once the request is answered. Without room, the body that has stalled longest yields.
pub struct RequestMemory {
    state: Mutex<State>,
    /// Notified when memory is free again.
    pub(super) freed: Notify,
    pub(super) clock: Clock,
}

pub(super) struct State {
    pub budget: BodyBudget,
    pub arrivals: Arrivals,
    pub time: ActiveTime,
    /// Gives up the body with this id; bodies that were given up have none.
    pub evictions: HashMap<ArrivalId, oneshot::Sender<IntakeError>>,
    /// Segments that no body uses.
    pub spare: Vec<Vec<u8>>,
    given_up: u64,
}

/// Use of the memory for bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryUse {
    /// Bytes of bodies that arrive or whose requests are in progress.
    pub used: usize,
    /// Bytes of bodies that arrive.
    pub arriving: usize,
    /// Number of bodies that arrive.
    pub bodies: usize,
    /// All bytes for bodies.
    pub capacity: usize,
    /// Bodies given up since the start because they stalled.
    pub given_up: u64,
}

impl RequestMemory {
    /// Creates the memory of an instance.
    pub fn new(shares: &IntakeShares, clock: Clock) -> Arc<Self> {
        let state = State {
            budget: BodyBudget::new(shares.bodies, shares.small),
            arrivals: Arrivals::default(),
            time: ActiveTime::default(),
            evictions: HashMap::new(),
            spare: Vec::new(),
            given_up: 0,
        };
        Arc::new(Self { state: Mutex::new(state), freed: Notify::new(), clock })
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how much of the memory is in use.
    pub fn usage(&self) -> MemoryUse {
        let state = self.state();
        let (bodies, arriving) = state.arrivals.usage();
        MemoryUse {
            used: state.budget.used(),
            arriving,
            bodies,
            capacity: state.budget.capacity(),
            given_up: state.given_up,
        }
    }

    /// Reads a whole body of at most `limit` bytes.
    ///
    /// # Errors
    /// [`IntakeError`] if the body is refused or given up; the rest of it was not read.
    pub async fn read<B>(
        self: &Arc<Self>,
        body: &mut B,
        limit: usize,
    ) -> Result<RequestBody, IntakeError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        if body.is_end_stream() {
            return Ok(RequestBody::default());
        }
        let size = body.size_hint();
        if size.lower() > limit as u64 {
            return Err(IntakeError::TooLarge(limit));
        }
        let expected = size.exact().map(|length| length as usize);
        let (arrival, evicted) = self.begin(expected.unwrap_or(0))?;
        let collector = Collector::new(arrival, expected);
        tokio::select! {
            biased;
            reason = evicted => Err(reason.unwrap_or(IntakeError::Stalled)),
            read = collect(body, collector, limit) => read,
        }
    }

    /// Begins a body of at least `expected` bytes, if there may be room for it.
    fn begin(
        self: &Arc<Self>,
        expected: usize,
    ) -> Result<(Arrival, oneshot::Receiver<IntakeError>), IntakeError> {
        let mut state = self.state();
        let now = state.time.advance(self.clock.now());
        let yielding = state.arrivals.yieldable(now);
        if !state.budget.fits_after(yielding, expected) {
            return Err(IntakeError::Full);
        }
        let id = state.arrivals.begin(now);
        let (evict, evicted) = oneshot::channel();
        state.evictions.insert(id, evict);
        Ok((Arrival { id, memory: self.clone() }, evicted))
    }

    /// Takes `more` bytes for body `id`, which holds `held`; other bodies may have to yield. Returns
    /// an empty buffer of that capacity.
    pub(super) async fn take(
        self: &Arc<Self>,
        id: ArrivalId,
        held: usize,
        more: usize,
    ) -> Result<Buffer, IntakeError> {
        for _ in 0..MAX_EVICTIONS {
            let mut freed = std::pin::pin!(self.freed.notified());
            // From here on, memory that is freed is noticed.
            freed.as_mut().enable();
            {
                let mut state = self.state();
                if state.budget.take(held, more) {
                    let bytes = state.buffer(more);
                    return Ok(Buffer { bytes, taken: more, memory: self.clone() });
                }
                let now = state.time.advance(self.clock.now());
                let Some(other) = state.arrivals.yielding(id, now) else { break };
                state.evict(other, IntakeError::Stalled);
            }
            if timeout(EVICTION_TIMEOUT, freed).await.is_err() {
                break;
            }
        }
        Err(IntakeError::Full)
    }

    /// Takes `bytes` for what a request holds in place of its body.
    ///
    /// # Errors
    /// [`IntakeError::Full`] if there is no room.
    pub fn hold(self: &Arc<Self>, bytes: usize) -> Result<Arc<HeldMemory>, IntakeError> {
        let mut state = self.state();
        if !state.budget.take(0, bytes) {
            return Err(IntakeError::Full);
        }
        state.trim();
        Ok(Arc::new(HeldMemory { bytes, memory: self.clone() }))
    }

    /// Gives up the bodies that have stalled for too long.
    pub fn give_up_stalled(&self, stopping: bool) {
        let mut state = self.state();
        let now = state.time.advance(self.clock.now());
        let reason = if stopping { IntakeError::Stopping } else { IntakeError::Stalled };
        for id in state.arrivals.stalled(stopping, now) {
            state.evict(id, reason.clone());
        }
    }
}

async fn collect<B>(
    body: &mut B,
    mut collector: Collector,
    limit: usize,
) -> Result<RequestBody, IntakeError>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut frames = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| IntakeError::Failed(e.into().to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if collector.len() + data.len() > limit {
            return Err(IntakeError::TooLarge(limit));
        }
        collector.write(&data).await?;
        frames += 1;
        if frames % FRAMES_PER_TURN == 0 {
            yield_now().await;
        }
    }
    Ok(collector.finish())
}

impl State {
    fn evict(&mut self, id: ArrivalId, reason: IntakeError) {
        let Some(end) = self.evictions.remove(&id) else { return };
        self.given_up += 1;
        // Fails if the body has just been read.
        let _ = end.send(reason);
    }

    /// Returns a buffer of `capacity` bytes, which were taken from the budget before.
    fn buffer(&mut self, capacity: usize) -> Vec<u8> {
        let reused = if capacity == SEGMENT { self.spare.pop() } else { None };
        self.trim();
        reused.unwrap_or_else(|| Vec::with_capacity(capacity))
    }

    /// Frees spare segments that would take more than the budget together with the used bytes.
    fn trim(&mut self) {
        let free = self.budget.capacity().saturating_sub(self.budget.used());
        self.spare.truncate(free / SEGMENT);
    }
}
