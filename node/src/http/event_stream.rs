use {
    super::{EventSplitter, PooledConnection},
    crate::ports::{AnswerPart, EngineError},
    futures_util::{
        stream::{try_unfold, BoxStream},
        StreamExt,
    },
    http_body_util::BodyExt,
    hyper::{body::Incoming, HeaderMap},
};

/// Body of a streamed response; its connection returns to the pool after the last event.
struct EventStream {
    body: Incoming,
    events: EventSplitter,
    pooled: Option<PooledConnection>,
    headers: HeaderMap,
}

impl EventStream {
    async fn next(&mut self) -> Result<Option<AnswerPart>, EngineError> {
        loop {
            let event = self.events.next_event();
            let event = event.map_err(|e| EngineError::Malformed(format!("event: {e:?}")))?;
            if let Some((id, bytes)) = event {
                return Ok(Some(AnswerPart::Event { id, bytes }));
            }
            match self.body.frame().await {
                None if self.events.has_partial() => {
                    return Err(EngineError::Lost("stream ended in the middle of an event".into()));
                }
                None => {
                    if let Some(pooled) = self.pooled.take() {
                        pooled.release(&self.headers);
                    }
                    return Ok(None);
                }
                Some(Err(e)) => return Err(EngineError::Lost(e.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.events.feed(&data);
                    }
                }
            }
        }
    }
}

/// Returns the events of a response with these `headers`, as they arrive on its connection.
pub fn event_parts(
    body: Incoming,
    pooled: PooledConnection,
    headers: HeaderMap,
) -> BoxStream<'static, Result<AnswerPart, EngineError>> {
    let stream =
        EventStream { body, events: EventSplitter::default(), pooled: Some(pooled), headers };
    try_unfold(
        stream,
        |mut stream| async move { Ok(stream.next().await?.map(|part| (part, stream))) },
    )
    .boxed()
}
