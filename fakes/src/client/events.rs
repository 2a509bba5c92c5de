use {http_body_util::BodyExt, hyper::body::Incoming, std::time::Duration, tokio::time::timeout};

/// Timeout for the next event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// A server-sent event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Event {
    /// Event id: the id of the stream, a colon and a number.
    pub id: String,
    /// Event name; empty for an event without a name.
    pub name: String,
    /// Event data: JSON, or `[DONE]` at the end of the stream.
    pub data: String,
}

impl Event {
    /// Text of the token in the event; empty if there is none.
    pub fn text(&self) -> String {
        let value: serde_json::Value = serde_json::from_str(&self.data).unwrap_or_default();
        let text = value.pointer("/choices/0/text").and_then(|t| t.as_str());
        text.unwrap_or("").to_owned()
    }

    /// Id of the stream that the event belongs to.
    pub fn stream_id(&self) -> &str {
        self.id.rsplit_once(':').map_or("", |(stream, _)| stream)
    }

    /// Whether the event is `[DONE]`, the end of the stream.
    pub fn is_done(&self) -> bool {
        self.data == "[DONE]"
    }
}

/// The events of a streamed response.
pub struct Events {
    body: Incoming,
    buffer: String,
}

impl Events {
    pub(super) fn new(body: Incoming) -> Self {
        Self { body, buffer: String::new() }
    }

    /// Returns the next event, or `None` if the stream has ended, failed or timed out.
    pub async fn next(&mut self) -> Option<Event> {
        loop {
            if let Some((event, rest)) = self.buffer.split_once("\n\n") {
                let event = parse_event(event);
                self.buffer = rest.to_owned();
                return Some(event);
            }
            let frame = timeout(EVENT_TIMEOUT, self.body.frame()).await.ok()??.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buffer.push_str(&String::from_utf8_lossy(&data));
            }
        }
    }
}

fn parse_event(text: &str) -> Event {
    let mut event = Event::default();
    for line in text.lines() {
        match line.split_once(": ") {
            Some(("id", id)) => event.id = id.to_owned(),
            Some(("event", name)) => event.name = name.to_owned(),
            Some(("data", data)) => event.data = data.to_owned(),
            _ => {}
        }
    }
    event
}
