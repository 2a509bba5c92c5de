use lentil_core::{ids::Fingerprint, stream::EndReason};

/// Text in a prompt that crashes each engine which runs it.
pub const POISON: &str = "<<crash>>";

/// The token at `offset` of the answer to a prompt, which is the same on every engine.
pub fn token_at(prompt: &str, adapter: &str, offset: u64) -> String {
    let parts = [prompt.as_bytes(), adapter.as_bytes(), &offset.to_le_bytes()];
    format!(" w{}", Fingerprint::of(&parts).0 % 10_000)
}

/// The complete answer to a prompt, as text.
pub fn expected_answer(prompt: &str, adapter: &str, max_tokens: u32) -> String {
    let (length, _) = answer_length(prompt, max_tokens);
    (0..length).map(|i| token_at(prompt, adapter, i)).collect()
}

/// Number of tokens of the answer, and why it ends there. A prompt that contains `len=N` gets an
/// answer of `N` tokens, if that is below the limit.
pub fn answer_length(prompt: &str, max_tokens: u32) -> (u64, EndReason) {
    let requested = prompt
        .split("len=")
        .nth(1)
        .map(|rest| rest.chars().take_while(char::is_ascii_digit).collect::<String>());
    match requested.and_then(|digits| digits.parse::<u64>().ok()) {
        Some(length) if length < u64::from(max_tokens) => (length, EndReason::Stop),
        _ => (u64::from(max_tokens), EndReason::Length),
    }
}
