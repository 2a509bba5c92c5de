use {
    crate::front::Shape,
    lentil_core::error::{ErrorKind, Fault},
    serde::Deserialize,
};

/// Tokens of output where the caller names no limit.
const MAX_TOKENS: u32 = 256;
/// Tokens of output that a caller may ask for.
const MOST_TOKENS: u32 = 32_768;

/// Body of a generation, in the customary fields; those not listed are ignored as is customary.
#[derive(Debug, Deserialize)]
struct Fields {
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

/// A generation as the caller asks for it.
#[derive(Debug)]
pub(super) struct GenerationRequest {
    pub model: String,
    pub prompt: String,
    pub max: u32,
    pub stream: bool,
}

impl GenerationRequest {
    /// Reads a body.
    pub(super) fn parse(body: &[u8], shape: Shape) -> Result<Self, Fault> {
        let bad = |text: String| Fault::new(ErrorKind::BadRequest, text);
        let text = std::str::from_utf8(body).map_err(|_| bad("the body is not UTF-8".into()))?;
        let fields: Fields =
            lentil_core::manifest::parse_json(text).map_err(|p| bad(format!("body: {p}")))?;
        let prompt = match shape {
            Shape::Chat => chat(fields.messages.ok_or_else(|| bad("messages: missing".into()))?),
            Shape::Text => fields.prompt.ok_or_else(|| bad("prompt: missing".into()))?,
        };
        let max = fields.max_tokens.unwrap_or(MAX_TOKENS);
        if max == 0 || max > MOST_TOKENS {
            return Err(bad(format!("max_tokens: {max} does not lie between 1 and {MOST_TOKENS}")));
        }
        Ok(Self { model: fields.model, prompt, max, stream: fields.stream })
    }
}

fn chat(messages: Vec<ChatMessage>) -> String {
    messages.iter().map(|m| format!("{}: {}\n", m.role, m.content)).collect()
}
