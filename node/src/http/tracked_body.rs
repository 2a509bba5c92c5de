use {
    super::{open_connection::OpenConnection, Body},
    bytes::Bytes,
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// Body of a response, at whose end the connection waits for the next request.
pub(super) struct TrackedBody {
    body: Body,
    connection: Arc<OpenConnection>,
}

impl TrackedBody {
    pub(super) fn new(body: Body, connection: Arc<OpenConnection>) -> Self {
        Self { body, connection }
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.end_work();
    }
}
