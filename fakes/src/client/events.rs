use {http_body_util::BodyExt, hyper::body::Incoming, std::time::Duration, tokio::time::timeout};

/// Longest wait for the next event.
const LIMIT: Duration = Duration::from_secs(30);

/// One server-sent event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Event {
    /// Its id.
    pub id: String,
    /// Its name, empty for an ordinary one.
    pub name: String,
    /// Its data.
    pub data: String,
}

impl Event {
    /// The text of the token that it carries.
    pub fn text(&self) -> String {
        let value: serde_json::Value = serde_json::from_str(&self.data).unwrap_or_default();
        let text = value.pointer("/choices/0/text").and_then(|t| t.as_str());
        text.unwrap_or("").to_owned()
    }

    /// The stream's id.
    pub fn stream(&self) -> &str {
        self.id.rsplit_once(':').map_or("", |(stream, _)| stream)
    }

    /// Whether it is the customary mark of the end.
    pub fn done(&self) -> bool {
        self.data == "[DONE]"
    }
}

/// Events of a streamed answer.
pub struct Events {
    body: Incoming,
    buffer: String,
}

impl Events {
    pub(super) fn new(body: Incoming) -> Self {
        Self { body, buffer: String::new() }
    }

    /// The next event; `None` when the stream has ended or broken off.
    pub async fn next(&mut self) -> Option<Event> {
        loop {
            if let Some((event, rest)) = self.buffer.split_once("\n\n") {
                let event = parse(event);
                self.buffer = rest.to_owned();
                return Some(event);
            }
            let frame = timeout(LIMIT, self.body.frame()).await.ok()??.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buffer.push_str(&String::from_utf8_lossy(&data));
            }
        }
    }
}

fn parse(text: &str) -> Event {
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
