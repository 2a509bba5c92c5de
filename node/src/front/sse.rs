use {
    crate::{front::ErrorBody, run::Piece},
    bytes::Bytes,
    lentil_core::error::Fault,
    serde::Serialize,
};

/// Response format of a completion endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Format of `/v1/chat/completions`.
    Chat,
    /// Format of `/v1/completions`.
    Text,
}

/// A completion, or a chunk of a streamed one, with the fields of the OpenAI API.
#[derive(Debug, Serialize)]
pub struct Completion {
    /// Identifier of the stream or completion.
    pub id: String,
    /// Object type, such as `chat.completion`.
    pub object: &'static str,
    /// Model name as given by the caller.
    pub model: String,
    /// Always exactly one choice.
    pub choices: [Choice; 1],
    /// Token counts; only in completions that are not streamed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The generated answer within a completion.
#[derive(Debug, Serialize)]
pub struct Choice {
    /// Always 0, as there is only one choice.
    pub index: u32,
    /// Text, in the text format.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Complete message, in the chat format.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatMessage>,
    /// Part of the message, in streamed chunks of the chat format.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChatMessage>,
    /// Reason for the end of the answer; absent before the last chunk of a stream.
    pub finish_reason: Option<String>,
}

/// A message of the assistant, or a part of it.
#[derive(Debug, Serialize)]
pub struct ChatMessage {
    /// Author of the message: always `assistant`.
    pub role: &'static str,
    /// Text of the message.
    pub content: String,
}

/// Token counts of a request.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
    /// Sum of prompt and generated tokens.
    pub total_tokens: u64,
}

impl Shape {
    fn choice(self, text: String, end: Option<String>, complete: bool) -> Choice {
        let mut choice =
            Choice { index: 0, text: None, message: None, delta: None, finish_reason: end };
        let message = |content| Some(ChatMessage { role: "assistant", content });
        match (self, complete) {
            (Self::Text, _) => choice.text = Some(text),
            (Self::Chat, true) => choice.message = message(text),
            (Self::Chat, false) => choice.delta = message(text),
        }
        choice
    }

    /// Builds the body of a completion that is not streamed.
    pub fn completion(
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

    /// Encodes a piece of a streamed answer as a server-sent event. The event id contains the
    /// offset from which the stream can be resumed.
    pub fn encode_event(self, model: &str, piece: &Piece) -> Bytes {
        let (offset, text, end) = match piece {
            Piece::Token { offset, text, .. } => (offset + 1, text.clone(), None),
            Piece::End { offset, reason, .. } => (*offset, String::new(), Some(reason.to_string())),
            Piece::Bytes(bytes) => return bytes.clone(),
            Piece::Head(..) | Piece::Done => return Bytes::new(),
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

/// Encodes a fault during a stream as the last server-sent event of the stream.
pub fn error_event(fault: &Fault) -> Bytes {
    let data = serde_json::to_string(&ErrorBody::from(fault)).unwrap_or_default();
    format!("event: error\ndata: {data}\n\n").into()
}
