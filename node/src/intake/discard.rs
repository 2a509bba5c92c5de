use {
    futures_util::StreamExt,
    http_body_util::BodyDataStream,
    hyper::{
        body::{Body, Incoming},
        header, HeaderMap,
    },
    lentil_core::error::{ErrorKind, Fault},
    std::{
        sync::atomic::{AtomicUsize, Ordering},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Most bytes that are read and discarded of one body.
const MAX_BYTES: usize = 64 << 20;
/// Longest rest after which the connection can be used again.
const SHORT_BYTES: u64 = 64 << 10;
/// Longest time for reading the rest of a body.
const MAX_TIME: Duration = Duration::from_secs(5);
/// Most bodies that are discarded at the same time.
const MAX_BODIES: usize = 64;

static BODIES: AtomicUsize = AtomicUsize::new(0);

struct Slot;

impl Slot {
    fn take() -> Option<Self> {
        let slot = Self;
        // Dropping the slot gives it back.
        (BODIES.fetch_add(1, Ordering::Relaxed) < MAX_BODIES).then_some(slot)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        BODIES.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns whether a caller waits for leave to send its body. It is answered before it sends.
pub fn awaits_leave(headers: &HeaderMap) -> bool {
    headers.contains_key(header::EXPECT)
}

/// Reads and discards the rest of the body of a request that got `fault`, within bounds, unless
/// nothing comes. Closing the connection with unread bytes would reset it, and the caller would lose
/// the answer. Returns whether the connection is to be closed after the answer.
pub fn discard_rest(fault: &Fault, awaits_leave: bool, body: Incoming) -> bool {
    if body.is_end_stream() {
        return false;
    }
    let stalled = matches!(fault.kind, ErrorKind::BodyTimeout | ErrorKind::Stopping);
    if stalled || awaits_leave {
        return true;
    }
    let Some(slot) = Slot::take() else { return true };
    let short = body.size_hint().exact().is_some_and(|length| length <= SHORT_BYTES);
    tokio::spawn(async move {
        let _slot = slot;
        let mut left = MAX_BYTES;
        let mut data = BodyDataStream::new(body);
        let read = async {
            while let Some(Ok(bytes)) = data.next().await {
                match left.checked_sub(bytes.len()) {
                    Some(rest) => left = rest,
                    None => return,
                }
            }
        };
        // At the end of the time the connection is closed all the same.
        let _ = timeout(MAX_TIME, read).await;
    });
    !short
}
