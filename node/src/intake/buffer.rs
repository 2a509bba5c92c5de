use {
    super::{request_memory::SEGMENT, RequestMemory},
    std::{fmt, sync::Arc},
};

/// Buffer that counts against the memory.
pub(super) struct Buffer {
    pub bytes: Vec<u8>,
    /// Bytes taken from the memory.
    pub taken: usize,
    pub memory: Arc<RequestMemory>,
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let mut bytes = std::mem::take(&mut self.bytes);
        {
            let mut state = self.memory.state();
            state.budget.give_back(self.taken);
            if bytes.capacity() == SEGMENT {
                bytes.clear();
                state.spare.push(bytes);
            }
        }
        self.memory.freed.notify_waiters();
    }
}

/// Memory that a request holds in place of its body; it is free again on drop.
pub struct HeldMemory {
    pub(super) bytes: usize,
    pub(super) memory: Arc<RequestMemory>,
}

impl fmt::Debug for HeldMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HeldMemory({})", self.bytes)
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.memory.state().budget.give_back(self.bytes);
        self.memory.freed.notify_waiters();
    }
}
