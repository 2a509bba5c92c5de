use {
    std::{
        io,
        pin::Pin,
        sync::{
            atomic::{AtomicUsize, Ordering},
            Arc,
        },
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
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

/// Connection that fails once more bytes have arrived than its allowance. The client discards interim
/// responses without limit, so that endless ones would keep it busy until the deadline.
pub struct LimitedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl LimitedStream {
    /// Limits what is read from `stream`.
    pub fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.left() == 0 {
            let text = "the head of the response is too long";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.allowance.take(buf.filled().len() - before);
        result
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
