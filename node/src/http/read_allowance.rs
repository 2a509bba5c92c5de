use {
    super::observed_stream::StreamObserver,
    std::{
        io,
        sync::{
            atomic::{AtomicUsize, Ordering},
            Arc,
        },
    },
};

/// Most bytes that a server may send before the head of its response is complete, interim responses
/// included.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// Number of bytes that may still be read from a connection.
#[derive(Debug, Clone)]
pub struct ReadAllowance(Arc<AtomicUsize>);

impl ReadAllowance {
    /// Creates the allowance of a connection that waits for the head of a response.
    pub fn for_head() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)))
    }

    /// Renews the allowance before a request is sent, or as the connection becomes idle.
    pub fn expect_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit once the head has arrived; what reads the body has limits of its own.
    pub fn expect_body(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    fn left(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) {
        let left = self.left();
        if left != usize::MAX {
            self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
    }
}

/// A connection fails once more bytes have arrived than its allowance. The client discards interim
/// responses without limit, so that endless ones would keep it busy until the deadline.
impl StreamObserver for ReadAllowance {
    fn check_read(&self) -> io::Result<()> {
        if self.left() == 0 {
            let text = "the head of the response is too long";
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        Ok(())
    }

    fn record_read(&self, bytes: usize) {
        self.take(bytes);
    }
}
