use {
    super::{buffer::Buffer, request_memory::SEGMENT, IntakeError, RequestBody, RequestMemory},
    bytes::Bytes,
    lentil_core::intake::ArrivalId,
    std::sync::Arc,
};

/// First buffer of a body without a declared length.
const FIRST_BUFFER: usize = 1 << 10;

/// A body that arrives.
pub(super) struct Arrival {
    pub id: ArrivalId,
    pub memory: Arc<RequestMemory>,
}

impl Drop for Arrival {
    fn drop(&mut self) {
        let mut state = self.memory.state();
        state.arrivals.end(self.id);
        state.evictions.remove(&self.id);
    }
}

/// Collects a body that arrives.
pub(super) struct Collector {
    arrival: Arrival,
    expected: Option<usize>,
    body: RequestBody,
    tail: Option<Buffer>,
    /// Bytes of memory taken.
    held: usize,
}

impl Collector {
    /// Begins a body, whose length may be declared.
    pub fn new(arrival: Arrival, expected: Option<usize>) -> Self {
        Self { arrival, expected, body: RequestBody::default(), tail: None, held: 0 }
    }

    /// Returns the number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.body.len() + self.tail.as_ref().map_or(0, |t| t.bytes.len())
    }

    /// Adds bytes that have arrived.
    pub async fn write(&mut self, data: &[u8]) -> Result<(), IntakeError> {
        let mut rest = data;
        while !rest.is_empty() {
            let room = self.tail.as_ref().map_or(0, |t| t.taken - t.bytes.len());
            if room == 0 {
                self.grow().await?;
                continue;
            }
            let Some(tail) = &mut self.tail else { continue };
            let (now, later) = rest.split_at(room.min(rest.len()));
            tail.bytes.extend_from_slice(now);
            rest = later;
        }
        let memory = &self.arrival.memory;
        let mut state = memory.state();
        let now = state.time.advance(memory.clock.now());
        state.arrivals.record(self.arrival.id, data.len(), self.held, now);
        Ok(())
    }

    /// Adds room behind the last byte: a larger first buffer, or another segment.
    async fn grow(&mut self) -> Result<(), IntakeError> {
        let full = self.tail.as_ref().map_or(0, |t| t.taken);
        let capacity = match self.expected {
            Some(length) if length <= SEGMENT => length.max(self.len() + 1),
            Some(_) => SEGMENT,
            None => (full * 2).clamp(FIRST_BUFFER, SEGMENT),
        };
        let (id, memory) = (self.arrival.id, &self.arrival.memory);
        let mut buffer = memory.take(id, self.held, capacity).await?;
        self.held += capacity;
        match self.tail.take() {
            Some(tail) if full < SEGMENT => {
                buffer.bytes.extend_from_slice(&tail.bytes);
                self.held -= full;
            }
            Some(tail) => self.body.push(Bytes::from_owner(tail)),
            None => {}
        }
        self.tail = Some(buffer);
        Ok(())
    }

    /// Returns the complete body.
    pub fn finish(mut self) -> RequestBody {
        if let Some(tail) = self.tail.take() {
            self.body.push(Bytes::from_owner(tail));
        }
        self.body
    }
}
