//! Splits a target's stream of server-sent events.

use bytes::{Bytes, BytesMut};

/// Size limit of one event.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Error in a stream of events; the rest of the stream cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An event exceeds the size limit.
    TooLong,
    /// An event has no numeric `id` field.
    MissingId,
}

/// Incremental splitter: accepts bytes in portions of any size and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer in which no event ends.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes received from the target.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event with its id, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// [`EventError`] if the event is too long or has no id.
    pub fn next_event(&mut self) -> Result<Option<(u64, Bytes)>, EventError> {
        let found = self.buffer[self.searched..].windows(2).position(|w| w == b"\n\n");
        let Some(end) = found.map(|at| self.searched + at) else {
            // The end may begin with the last byte.
            self.searched = self.buffer.len().saturating_sub(1);
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(EventError::TooLong)
            } else {
                Ok(None)
            };
        };
        self.searched = 0;
        let event = self.buffer.split_to(end + 2).freeze();
        match event_id(&event) {
            Some(id) => Ok(Some((id, event))),
            None => Err(EventError::MissingId),
        }
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let id = lines.filter_map(|l| l.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
