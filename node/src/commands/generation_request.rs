use {
    crate::front::Shape,
    lentil_core::error::{ErrorKind, Fault},
    serde::Deserialize,
};

/// Maximum number of output tokens where the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Largest `max_tokens` that a caller may set.
const MAX_TOKENS: u32 = 32_768;

/// JSON body of a generation, with the customary fields of such APIs; other fields are ignored.
#[derive(Debug, Deserialize)]
struct RequestBody {
    model: String,
    #[serde(default)]
    messages: Option<Vec<ChatMessage>>,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// A generation requested by a caller, checked.
#[derive(Debug)]
pub(super) struct GenerationRequest {
    pub model: String,
    pub prompt: String,
    pub max: u32,
    pub stream: bool,
}

impl GenerationRequest {
    /// Parses and checks a request body.
    pub(super) fn parse(body: &[u8], shape: Shape) -> Result<Self, Fault> {
        let bad = |text: String| Fault::new(ErrorKind::BadRequest, text);
        let text = std::str::from_utf8(body).map_err(|_| bad("the body is not UTF-8".into()))?;
        let fields: RequestBody =
            lentil_core::manifest::parse_json(text).map_err(|p| bad(format!("body: {p}")))?;
        let prompt = match shape {
            Shape::Chat => {
                chat_prompt(fields.messages.ok_or_else(|| bad("messages: missing".into()))?)
            }
            Shape::Text => fields.prompt.ok_or_else(|| bad("prompt: missing".into()))?,
        };
        let max = fields.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if max == 0 || max > MAX_TOKENS {
            return Err(bad(format!("max_tokens: {max} is not between 1 and {MAX_TOKENS}")));
        }
        Ok(Self { model: fields.model, prompt, max, stream: fields.stream })
    }
}

/// Joins chat messages into one prompt.
fn chat_prompt(messages: Vec<ChatMessage>) -> String {
    messages.iter().map(|m| format!("{}: {}\n", m.role, m.content)).collect()
}
