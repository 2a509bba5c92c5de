use {
    crate::{front::ErrorBody, run::Piece},
    bytes::Bytes,
    lentil_core::error::Fault,
    serde::Serialize,
};

/// Shape of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// As `/v1/chat/completions` answers.
    Chat,
    /// As `/v1/completions` answers.
    Text,
}

/// An answer or a piece of one, in the customary fields.
#[derive(Debug, Serialize)]
pub struct Completion {
    /// The stream's id, or the answer's.
    pub id: String,
    /// What the object is.
    pub object: &'static str,
    /// The model, as the caller named it.
    pub model: String,
    /// Always one choice.
    pub choices: [Choice; 1],
    /// Tokens used, in whole answers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The one choice of an answer.
#[derive(Debug, Serialize)]
pub struct Choice {
    /// Always zero.
    pub index: u32,
    /// Text of a text completion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Message of a whole chat answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatMessage>,
    /// Piece of a streamed chat answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChatMessage>,
    /// Why the answer ended.
    pub finish_reason: Option<String>,
}

/// What the assistant said.
#[derive(Debug, Serialize)]
pub struct ChatMessage {
    /// Always the assistant.
    pub role: &'static str,
    /// The text.
    pub content: String,
}

/// Tokens used.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Usage {
    /// Of the prompt.
    pub prompt_tokens: u64,
    /// Of the answer.
    pub completion_tokens: u64,
    /// Of both.
    pub total_tokens: u64,
}

impl Shape {
    fn choice(self, text: String, end: Option<String>, whole: bool) -> Choice {
        let mut choice =
            Choice { index: 0, text: None, message: None, delta: None, finish_reason: end };
        let message = |content| Some(ChatMessage { role: "assistant", content });
        match (self, whole) {
            (Self::Text, _) => choice.text = Some(text),
            (Self::Chat, true) => choice.message = message(text),
            (Self::Chat, false) => choice.delta = message(text),
        }
        choice
    }

    /// A whole answer.
    pub fn whole(
        self,
        id: &str,
        model: &str,
        text: String,
        end: String,
        usage: Usage,
    ) -> Completion {
        let object = match self {
            Self::Chat => "chat.completion",
            Self::Text => "text_completion",
        };
        let choices = [self.choice(text, Some(end), true)];
        Completion { id: id.into(), object, model: model.into(), choices, usage: Some(usage) }
    }

    /// One piece of a streamed answer as a server-sent event, with the offset after it in its id.
    pub fn event(self, model: &str, piece: &Piece) -> Bytes {
        let (offset, text, end) = match piece {
            Piece::Token { offset, text, .. } => (offset + 1, text.clone(), None),
            Piece::End { offset, reason, .. } => (*offset, String::new(), Some(reason.to_string())),
            Piece::Bytes(bytes) => return bytes.clone(),
            Piece::Head(_) | Piece::Done => return Bytes::new(),
        };
        let ticket = piece.ticket();
        let object = match self {
            Self::Chat => "chat.completion.chunk",
            Self::Text => "text_completion",
        };
        let choices = [self.choice(text, end, false)];
        let chunk =
            Completion { id: ticket.into(), object, model: model.into(), choices, usage: None };
        let data = serde_json::to_string(&chunk).unwrap_or_default();
        let done = match piece {
            Piece::End { .. } => "data: [DONE]\n\n",
            _ => "",
        };
        format!("id: {ticket}:{offset}\ndata: {data}\n\n{done}").into()
    }
}

/// A fault in the midst of a stream, as its last event.
pub fn error_event(fault: &Fault) -> Bytes {
    let data = serde_json::to_string(&ErrorBody::from(fault)).unwrap_or_default();
    format!("event: error\ndata: {data}\n\n").into()
}
