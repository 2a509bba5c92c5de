use {
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Follows what is read from and written to a connection.
pub(super) trait StreamObserver {
    /// Returns an error if nothing more may be read.
    fn check_read(&self) -> io::Result<()> {
        Ok(())
    }

    /// Records that bytes have arrived.
    fn record_read(&self, bytes: usize);

    /// Records an attempt to write, and whether the peer has to read first.
    fn record_write(&self, _blocked: bool) {}
}

/// Connection with an observer.
pub(super) struct ObservedStream<O> {
    stream: TcpStream,
    observer: O,
}

impl<O: StreamObserver> ObservedStream<O> {
    pub(super) fn new(stream: TcpStream, observer: O) -> Self {
        Self { stream, observer }
    }

    fn record_write<T>(&self, result: Poll<T>) -> Poll<T> {
        self.observer.record_write(result.is_pending());
        result
    }
}

impl<O: StreamObserver + Unpin> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.observer.check_read()?;
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        if bytes > 0 {
            self.observer.record_read(bytes);
        }
        result
    }
}

impl<O: StreamObserver + Unpin> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(result)
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
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
